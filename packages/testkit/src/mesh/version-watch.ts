/** Watches the version in force on each node. */

import type {Mesh} from './mesh.js';

const POLL_INTERVAL_MS = 20;

/** Polls every node and records each return to an older version. */
export class VersionWatch {
  /** One entry for each return of a node to an older version. */
  readonly stepsBack: string[] = [];
  private readonly highest = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;
  private polling = false;

  constructor(private readonly mesh: Mesh) {}

  start(): void {
    this.timer = setInterval(() => {
      void this.poll();
    }, POLL_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async poll(): Promise<void> {
    if (this.polling) return;
    this.polling = true;
    const probes = this.mesh.probes();
    const versions = await Promise.all(probes.map(probe => probe.version()));
    for (const [i, {nodeId}] of probes.entries()) {
      this.recordVersion(nodeId, versions[i]);
    }
    this.polling = false;
  }

  /** Ignores version -1, which a started node has before it enforces one. */
  private recordVersion(nodeId: string, version: number | undefined): void {
    if (version === undefined || version < 0) return;
    const highest = this.highest.get(nodeId) ?? -1;
    if (version < highest) {
      this.stepsBack.push(`${nodeId}: ${highest} -> ${version}`);
    }
    this.highest.set(nodeId, Math.max(highest, version));
  }
}
