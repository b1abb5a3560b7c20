/** The versions that other nodes have reported to be in force. */

import type {DataCentreVersions} from './admin/index.js';

interface Reported {
  dataCentre: string;
  version: number;
}

/** Largest number of nodes named in a list. */
const MAX_NAMED_NODES = 20;

/** Versions by node. */
export class FleetVersions {
  private readonly byNode = new Map<string, Reported>();

  note(nodeId: string, dataCentre: string, version: number): void {
    this.byNode.set(nodeId, {dataCentre, version});
  }

  /** Forgets nodes that are no longer members. */
  keepOnly(nodeIds: ReadonlySet<string>): void {
    for (const nodeId of this.byNode.keys()) {
      if (!nodeIds.has(nodeId)) this.byNode.delete(nodeId);
    }
  }

  byDataCentre(): DataCentreVersions[] {
    const rows = new Map<string, DataCentreVersions>();
    for (const {dataCentre, version} of this.byNode.values()) {
      const row = rows.get(dataCentre) ?? {dataCentre, nodes: 0, versions: {}};
      row.nodes += 1;
      row.versions[version] = (row.versions[version] ?? 0) + 1;
      rows.set(dataCentre, row);
    }
    return [...rows.values()].sort((a, b) =>
      a.dataCentre < b.dataCentre ? -1 : 1,
    );
  }

  /** Some of the nodes below `version`, in order of their names. */
  laggards(version: number): string[] {
    const behind = [...this.byNode].filter(([, at]) => at.version < version);
    const names = behind.map(([nodeId]) => nodeId).sort();
    return names.slice(0, MAX_NAMED_NODES);
  }
}
