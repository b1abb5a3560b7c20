/** Versions in force on the fleet, for the administration API. */

import type {VersionReport} from '@turmericmill/wire';

import type {DataCentreVersions} from './admin/index.js';

/** Maximum number of nodes in a list. */
const MAX_NAMED_NODES = 20;

const NO_REPORT: VersionReport = {counts: {}, laggards: []};

/** Reads the latest report on each query. */
export class FleetVersions {
  private readReport: () => VersionReport = () => NO_REPORT;

  /** Sets the function that returns the latest report. */
  setSource(readReport: () => VersionReport): void {
    this.readReport = readReport;
  }

  byDataCentre(): DataCentreVersions[] {
    const rows = Object.entries(this.readReport().counts).map(
      ([dataCentre, versions]) => {
        const counts = Object.values(versions);
        const nodes = counts.reduce((sum, count) => sum + count, 0);
        return {dataCentre, nodes, versions};
      },
    );
    return rows.sort((a, b) => (a.dataCentre < b.dataCentre ? -1 : 1));
  }

  /**
   * Some of the nodes that enforce an older version or do not report, in order
   * of their names.
   */
  laggards(): string[] {
    return [...this.readReport().laggards].sort().slice(0, MAX_NAMED_NODES);
  }
}
