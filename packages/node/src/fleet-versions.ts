/** The versions in force on the fleet, as the administration API shows them. */

import type {VersionReport} from '@turmericmill/wire';

import type {DataCentreVersions} from './admin/index.js';

/** Largest number of nodes named in a list. */
const MAX_NAMED_NODES = 20;

const NO_REPORT: VersionReport = {counts: {}, laggards: []};

/** Reads the latest report when it is asked. */
export class FleetVersions {
  private read: () => VersionReport = () => NO_REPORT;

  /** Sets where the report comes from. */
  setSource(read: () => VersionReport): void {
    this.read = read;
  }

  byDataCentre(): DataCentreVersions[] {
    const rows = Object.entries(this.read().counts).map(
      ([dataCentre, versions]) => {
        const counts = Object.values(versions);
        const nodes = counts.reduce((sum, count) => sum + count, 0);
        return {dataCentre, nodes, versions};
      },
    );
    return rows.sort((a, b) => (a.dataCentre < b.dataCentre ? -1 : 1));
  }

  /** Some of the nodes that are behind or silent, in order of their names. */
  laggards(): string[] {
    return [...this.read().laggards].sort().slice(0, MAX_NAMED_NODES);
  }
}
