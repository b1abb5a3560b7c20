/** Watches the version that each node enforces. */

import type {Mesh} from './mesh.js';

const POLL_INTERVAL_MS = 20;

/** Polls every node and notes each step back. */
export class VersionWatch {
  /** Nodes that went back to an older version, one entry each time. */
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
      this.note(nodeId, versions[i]);
    }
    this.polling = false;
  }

  /** A started node is at -1 before it enforces anything. */
  private note(nodeId: string, version: number | undefined): void {
    if (version === undefined || version < 0) return;
    const known = this.highest.get(nodeId) ?? -1;
    if (version < known) {
      this.stepsBack.push(`${nodeId}: ${known} -> ${version}`);
    }
    this.highest.set(nodeId, Math.max(known, version));
  }
}
