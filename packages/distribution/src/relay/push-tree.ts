/**
 * Push trees. Every node computes the same tree from the same members, without
 * exchanging messages. While the member lists of nodes differ, a node may miss
 * a push; anti-entropy repairs this.
 */

import {hash32} from '@turmericmill/utils';

/** Maximum number of children of a node. */
export const PUSH_FANOUT = 6;

/** A tree over the members of one data centre. */
export class PushTree {
  private readonly order: readonly string[];
  private readonly positions: ReadonlyMap<string, number>;

  /** The order depends on `root`, so that trees of different roots differ. */
  constructor(
    readonly root: string,
    members: readonly string[],
    private readonly fanout = PUSH_FANOUT,
  ) {
    const others = members
      .filter(member => member !== root)
      .map(member => ({member, hash: hash32(`${root}\u0000${member}`)}))
      .sort((a, b) => a.hash - b.hash || (a.member < b.member ? -1 : 1));
    this.order = [root, ...others.map(({member}) => member)];
    this.positions = new Map(
      this.order.map((member, position) => [member, position]),
    );
  }

  childrenOf(member: string): string[] {
    const position = this.positions.get(member);
    if (position === undefined) return [];
    const first = position * this.fanout + 1;
    return this.order.slice(first, first + this.fanout);
  }

  /** The parent; undefined for the root and for nodes outside the tree. */
  parentOf(member: string): string | undefined {
    const position = this.positions.get(member);
    if (position === undefined || position === 0) return undefined;
    return this.order[Math.floor((position - 1) / this.fanout)];
  }
}
