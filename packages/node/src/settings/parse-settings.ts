/** Parses and checks the settings file of a node as a whole. */

import {createRequire} from 'node:module';

import {
  compareFindings,
  Err,
  JsonDocument,
  Ok,
  SchemaCheck,
  type Finding,
  type Result,
} from '@turmericmill/utils';

import {findAddressFaults} from './address-rules.js';
import {findDataCentreFaults} from './data-centre-rules.js';
import type {NodeSettings} from './node-settings.js';

const SCHEMA = createRequire(import.meta.url)(
  './node-settings.schema.json',
) as object;

const SCHEMA_CHECK = new SchemaCheck<NodeSettings>(SCHEMA);

/** What the starter of a node knows about where it runs. */
export interface SettingsExpectation {
  /** Data centre of this host, when the command line tells it. */
  dataCentre?: string;
}

/**
 * Returns the settings with defaults filled in, or every finding in the order
 * of its place. `file` is used in places only; nothing is read.
 */
export function parseSettings(
  file: string,
  text: string,
  expectation: SettingsExpectation = {},
): Result<NodeSettings, Finding[]> {
  const parsed = JsonDocument.parse(file, text);
  if (parsed.isErr()) return Err(parsed.error);
  const document = parsed.value;
  const checked = SCHEMA_CHECK.check(document);
  const findings = checked.isErr() ? checked.error : [];
  findings.push(...findAddressFaults(document));
  findings.push(...findDataCentreFaults(document, expectation.dataCentre));
  if (checked.isErr() || findings.length > 0) {
    return Err(findings.sort(compareFindings));
  }
  return Ok(checked.value);
}
