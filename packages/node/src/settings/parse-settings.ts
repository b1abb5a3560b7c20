/** Parses and validates the settings file of a node. */

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

/** What the command line states about the host of a node. */
export interface SettingsExpectation {
  /** Data centre of the host, if stated. */
  dataCentre?: string;
}

/**
 * Returns the settings with defaults filled in, or all findings in the order of
 * their places. `file` only names the file in these places; it is not read.
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
