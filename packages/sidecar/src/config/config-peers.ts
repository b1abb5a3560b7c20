/** The nodes that a follower exchanges versions with. */

import type {RandomSource} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';

import {rankNodes} from './source-choice.js';

export interface ConfigPeersParts {
  nodeId: string;
  dataCentre: string;
  random: RandomSource;
}

export class ConfigPeers {
  /** Ids of the live nodes of this data centre, this one included, by rank. */
  private rankedIds: string[] = [];
  /** Ids of the nodes of this data centre that may live, without this node. */
  private localIds: string[] = [];
  /** Ids of the live nodes of all data centres, without this node. */
  private liveIds: string[] = [];
  /** Ids of the live nodes of each other data centre. */
  private remoteIds = new Map<string, string[]>();

  constructor(private readonly parts: ConfigPeersParts) {}

  update(members: readonly MemberRecord[]): void {
    const {nodeId, dataCentre} = this.parts;
    const alive = members.filter(({status}) => status === 'alive');
    this.liveIds = alive.map(({id}) => id).filter(id => id !== nodeId);
    const local = members.filter(member => member.dataCentre === dataCentre);
    this.rankedIds = rankNodes(
      local.filter(({status}) => status === 'alive').map(({id}) => id),
    );
    // A host behind a full link is suspected, and needs the notices most.
    this.localIds = local
      .filter(({status}) => status === 'alive' || status === 'suspect')
      .map(({id}) => id)
      .filter(id => id !== nodeId);
    this.remoteIds = new Map();
    for (const member of alive) {
      if (member.dataCentre === dataCentre) continue;
      const ids = this.remoteIds.get(member.dataCentre);
      if (ids) ids.push(member.id);
      else this.remoteIds.set(member.dataCentre, [member.id]);
    }
  }

  /** Rank of this node among those that read the store; 0 is the reader. */
  get rank(): number {
    return Math.max(0, this.rankedIds.indexOf(this.parts.nodeId));
  }

  /** True for a node of this data centre that is to read before this one. */
  isOfLowerRank(peerId: string): boolean {
    const rank = this.rankedIds.indexOf(peerId);
    return rank >= 0 && rank < this.rank;
  }

  get local(): readonly string[] {
    return this.localIds;
  }

  /** Returns a node of this data centre and any other one. */
  pickAny(): string[] {
    const {random} = this.parts;
    const local = random.pick(this.localIds);
    const other = random.pick(this.liveIds.filter(id => id !== local));
    return [local, other].filter(id => id !== undefined);
  }

  /** Returns live nodes of this data centre. */
  sampleLocal(count: number): string[] {
    const {nodeId, random} = this.parts;
    const others = this.rankedIds.filter(id => id !== nodeId);
    return random.sample(others, count);
  }

  /** Returns a node of each other data centre. */
  pickRemote(): string[] {
    const picks = [...this.remoteIds.values()].map(ids =>
      this.parts.random.pick(ids),
    );
    return picks.filter(id => id !== undefined);
  }
}
