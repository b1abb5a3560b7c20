/** Chooses the owner of the caps among the live hosts. */

/** Time in ms for which an owner that did not answer is not chosen. */
const AVOID_MS = 2_000;
/** Hosts that may become owners, by rank. */
const RANKED = 4;

/** A live host; `incarnation` is the start time of its process in ms. */
export interface LiveHost {
  nodeId: string;
  incarnation: number;
}

/**
 * The host that has run longest is the owner. One that has just started grants
 * nothing yet, and requests wait whenever the owner changes: with a choice by
 * hash, each host that was added might have become the owner.
 */
export class OwnerChoice {
  private ranked: readonly string[] = [];
  private readonly avoidedUntilMs = new Map<string, number>();

  /** Sets the live hosts, with this one. */
  setHosts(hosts: readonly LiveHost[]): void {
    this.ranked = [...hosts]
      .sort(byAge)
      .slice(0, RANKED)
      .map(({nodeId}) => nodeId);
  }

  /** Does not choose this host for some time, unless there is no other. */
  avoid(nodeId: string, nowMs: number): void {
    this.avoidedUntilMs.set(nodeId, nowMs + AVOID_MS);
  }

  /** Returns the owner by rank; undefined if no host is known. */
  choose(nowMs: number, except?: string): string | undefined {
    const others = this.ranked.filter(id => id !== except);
    const usable = others.find(
      id => nowMs >= (this.avoidedUntilMs.get(id) ?? -Infinity),
    );
    return usable ?? others[0];
  }
}

function byAge(a: LiveHost, b: LiveHost): number {
  return a.incarnation - b.incarnation || (a.nodeId < b.nodeId ? -1 : 1);
}
