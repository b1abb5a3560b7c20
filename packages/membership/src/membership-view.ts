/** Read access to the membership for other parts of a node. */

import type {MemberRecord, ServerRecord} from '@turmericmill/wire';

import type {MemberEntry, MemberTable} from './member-table.js';

/**
 * Reliability of a server's node. Servers of `suspect` and `damped` nodes are
 * to be used only when no `usable` one is left.
 */
export type NodeReliability = 'usable' | 'suspect' | 'damped';

/** A backend server and the node through which it is reached. */
export interface ServerEntry {
  nodeId: string;
  nodeIncarnation: number;
  address: string;
  port: number;
  dataCentre: string;
  reliability: NodeReliability;
  server: ServerRecord;
}

export class MembershipView {
  private nowMs = 0;
  private hasDamped = false;
  private index: Map<string, ServerEntry[]> | undefined;

  constructor(private readonly table: MemberTable) {}

  /** Members that match `filter`, including dead and departed ones. */
  members(
    filter: (record: MemberRecord) => boolean = () => true,
  ): MemberRecord[] {
    const records = Array.from(this.table.all(), entry => entry.record);
    return records.filter(filter);
  }

  member(id: string): MemberRecord | undefined {
    return this.table.get(id)?.record;
  }

  /** Alive members of one data centre, or of all. */
  aliveMembers(dataCentre?: string): MemberRecord[] {
    return this.members(
      record =>
        record.status === 'alive' &&
        (dataCentre === undefined || record.dataCentre === dataCentre),
    );
  }

  /** Servers of a group, in any state, on alive or suspected members. */
  serversOf(group: string): readonly ServerEntry[] {
    this.index ??= this.buildIndex();
    return this.index.get(group) ?? [];
  }

  /** Servers of a group that accept new calls. */
  readyServersOf(group: string): ServerEntry[] {
    return this.serversOf(group).filter(
      entry => entry.server.state === 'ready',
    );
  }

  /** Groups that have servers, in any state. */
  groups(): string[] {
    this.index ??= this.buildIndex();
    return [...this.index.keys()].sort();
  }

  /** Drops the index; to be called after each change of the table. */
  invalidate(nowMs: number): void {
    this.nowMs = nowMs;
    this.index = undefined;
  }

  /** Drops the index if it has damped servers; returns whether it did. */
  refreshDamped(nowMs: number): boolean {
    if (!this.hasDamped) return false;
    this.invalidate(nowMs);
    return true;
  }

  private buildIndex(): Map<string, ServerEntry[]> {
    this.hasDamped = false;
    const index = new Map<string, ServerEntry[]>();
    for (const entry of this.table.present()) {
      for (const server of entry.record.servers) {
        const entries = index.get(server.group) ?? [];
        entries.push(this.toServerEntry(entry, server));
        index.set(server.group, entries);
      }
    }
    return index;
  }

  private toServerEntry(entry: MemberEntry, server: ServerRecord): ServerEntry {
    const {id, incarnation, address, port, dataCentre} = entry.record;
    return {
      nodeId: id,
      nodeIncarnation: incarnation,
      address,
      port,
      dataCentre,
      reliability: this.reliabilityOf(entry),
      server,
    };
  }

  private reliabilityOf(entry: MemberEntry): NodeReliability {
    if (entry.record.status === 'suspect') return 'suspect';
    if (!entry.penalty.isDamped(this.nowMs)) return 'usable';
    this.hasDamped = true;
    return 'damped';
  }
}
