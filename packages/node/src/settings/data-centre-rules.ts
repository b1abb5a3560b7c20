/** Validates the data centre and the region of the settings. */

import type {Finding, JsonDocument} from '@turmericmill/utils';

import {itemsAt, stringAt} from './value-at.js';

/**
 * Finds a data centre that is not in its region, not in `expectedDataCentres`,
 * or not `hostDataCentre`, which the command line may state.
 */
export function findDataCentreFaults(
  document: JsonDocument,
  hostDataCentre?: string,
): Finding[] {
  const dataCentre = stringAt(document, ['dataCentre']);
  if (dataCentre === undefined) return [];
  const createFinding = (code: string, message: string): Finding => ({
    code,
    message,
    place: document.placeOf(['dataCentre']),
  });
  const findings: Finding[] = [];
  const region = stringAt(document, ['region']);
  if (region !== undefined && !dataCentre.startsWith(`${region}-`)) {
    findings.push(
      createFinding(
        'wrong-region',
        `Data centre "${dataCentre}" is not in region "${region}": its name ` +
          `has to begin with "${region}-".`,
      ),
    );
  }
  const listed = itemsAt(document, ['expectedDataCentres']);
  if (listed.length > 0 && !listed.includes(dataCentre)) {
    findings.push(
      createFinding(
        'unexpected-data-centre',
        `Data centre "${dataCentre}" is not one of ${listed.join(', ')}.`,
      ),
    );
  }
  if (hostDataCentre !== undefined && hostDataCentre !== dataCentre) {
    findings.push(
      createFinding(
        'unexpected-data-centre',
        `These are the settings of "${dataCentre}", but this host is in ` +
          `"${hostDataCentre}".`,
      ),
    );
  }
  return findings;
}
