/** The resources of one team, in the configuration and in files. */

import {
  parseFileSet,
  type Resource,
  type ResourceMap,
} from '@turmericmill/config';
import {Err, type Result} from '@turmericmill/utils';

import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';

/** Returns the resources of `team` in `resources`. */
export function resourcesOfTeam(
  resources: ResourceMap,
  team: string,
): Resource[] {
  return [...resources.values()].filter(resource => resource.team === team);
}

/**
 * Reads and validates the files of `team`, which may refer to resources of
 * other teams in `published`.
 */
export async function loadFileSet(
  context: CliContext,
  directory: string,
  team: string,
  published: ResourceMap,
): Promise<Result<Resource[], CliError>> {
  const files = await context.files.readFileSet(directory);
  if (files.isErr()) return files;
  if (files.value.length === 0) {
    const message = `There is no .json file in ${directory}.`;
    return Err({exit: 'refused', message});
  }
  return parseFileSet(team, files.value, published).mapErr(findings => {
    const count = findings.length;
    const noun = count === 1 ? 'finding' : 'findings';
    return {exit: 'refused', message: `${count} ${noun}.`, findings};
  });
}
