/** Rules that refuse the settings of another data centre or region. */

import type {Finding, JsonDocument} from '@turmericmill/utils';

import {itemsAt, textAt} from './value-at.js';

/**
 * Finds a data centre outside its region, outside `expectedDataCentres`, or
 * other than `expected`, which the starter of the node has given.
 */
export function findDataCentreFaults(
  document: JsonDocument,
  expected?: string,
): Finding[] {
  const dataCentre = textAt(document, ['dataCentre']);
  if (dataCentre === undefined) return [];
  const fault = (code: string, message: string): Finding => ({
    code,
    message,
    place: document.placeOf(['dataCentre']),
  });
  const findings: Finding[] = [];
  const region = textAt(document, ['region']);
  if (region !== undefined && !dataCentre.startsWith(`${region}-`)) {
    findings.push(
      fault(
        'wrong-region',
        `Data centre "${dataCentre}" is not in region "${region}": its name ` +
          `has to begin with "${region}-".`,
      ),
    );
  }
  const listed = itemsAt(document, ['expectedDataCentres']);
  if (listed.length > 0 && !listed.includes(dataCentre)) {
    findings.push(
      fault(
        'unexpected-data-centre',
        `Data centre "${dataCentre}" is not one of ${listed.join(', ')}.`,
      ),
    );
  }
  if (expected !== undefined && expected !== dataCentre) {
    findings.push(
      fault(
        'unexpected-data-centre',
        `These are the settings of "${dataCentre}", but this host is in ` +
          `"${expected}".`,
      ),
    );
  }
  return findings;
}
