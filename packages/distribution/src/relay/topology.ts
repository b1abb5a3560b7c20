/** Roles and push trees that a node derives from its list of live members. */

import {rendezvousTop} from '@turmericmill/utils';

import {PushTree} from './push-tree.js';

/** Number of relays in each data centre. */
export const RELAYS_PER_DATA_CENTRE = 3;

/**
 * Number of anti-entropy partners in the node's data centre and in others of
 * the region. Partners are few and stay the same, so that a node needs few
 * connections.
 */
const NEAR_PARTNERS = 4;
const FAR_PARTNERS = 2;

/** The attributes of a node that its role depends on. */
export interface ConfigPeer {
  id: string;
  dataCentre: string;
  region: string;
}

/** Nodes that are informed of a version before it comes into force. */
export interface Witnesses {
  /** The other relays of the node's data centre. */
  near: readonly string[];
  /** One relay of each other data centre of the region. */
  far: readonly string[];
}

/** Roles and trees for one list of live members. Immutable. */
export class Topology {
  /** Relays of the node's data centre, ordered by rank. */
  readonly relays: readonly string[];
  /** Other members of the node's data centre. */
  readonly localPeers: readonly string[];
  /** Members of other data centres of the region. */
  readonly distantPeers: readonly string[];
  /** Nodes with which this node exchanges versions for anti-entropy. */
  readonly partners: readonly string[];
  private readonly membersByDataCentre = new Map<string, string[]>();
  private readonly regionDataCentres = new Set<string>();
  private readonly dataCentres = new Map<string, string>();
  private readonly trees = new Map<string, PushTree>();
  private readonly relaysByDataCentre = new Map<string, readonly string[]>();
  private cachedWitnesses: Witnesses | undefined;

  constructor(
    readonly self: ConfigPeer,
    peers: readonly ConfigPeer[],
  ) {
    const others = peers.filter(peer => peer.id !== self.id);
    for (const peer of [self, ...others]) this.add(peer);
    this.relays = this.relaysOf(self.dataCentre);
    this.localPeers = others
      .filter(peer => peer.dataCentre === self.dataCentre)
      .map(peer => peer.id);
    this.distantPeers = others
      .filter(({region, dataCentre}) => {
        return region === self.region && dataCentre !== self.dataCentre;
      })
      .map(peer => peer.id);
    const key = `partner ${self.id}`;
    this.partners = [
      ...rendezvousTop(key, this.localPeers, NEAR_PARTNERS),
      ...rendezvousTop(key, this.distantPeers, FAR_PARTNERS),
    ];
  }

  get isRelay(): boolean {
    return this.relays.includes(this.self.id);
  }

  /** Position among the relays of the data centre; -1 if it is no relay. */
  get rank(): number {
    return this.relays.indexOf(this.self.id);
  }

  /** Whether the node is a member. */
  has(id: string): boolean {
    return this.dataCentres.has(id);
  }

  /** The data centre of a member; undefined for other nodes. */
  dataCentreOf(id: string): string | undefined {
    return this.dataCentres.get(id);
  }

  /** Whether `peers` and the node itself are exactly the members. */
  hasSameMembers(peers: readonly ConfigPeer[]): boolean {
    const ids = new Set([this.self.id, ...peers.map(peer => peer.id)]);
    if (ids.size !== this.dataCentres.size) return false;
    return peers.every(
      peer => this.dataCentres.get(peer.id) === peer.dataCentre,
    );
  }

  /** The relays of a data centre, in the same order on all nodes. */
  relaysOf(dataCentre: string): readonly string[] {
    let relays = this.relaysByDataCentre.get(dataCentre);
    if (!relays) {
      const members = this.membersByDataCentre.get(dataCentre) ?? [];
      const key = `relay ${dataCentre}`;
      relays = rendezvousTop(key, members, RELAYS_PER_DATA_CENTRE);
      this.relaysByDataCentre.set(dataCentre, relays);
    }
    return relays;
  }

  /** Nodes that are informed of a version before it comes into force here. */
  witnesses(): Witnesses {
    this.cachedWitnesses ??= this.selectWitnesses();
    return this.cachedWitnesses;
  }

  /** The node that aggregates the version reports of a data centre. */
  reportRootOf(dataCentre: string): string | undefined {
    return this.relaysOf(dataCentre)[0];
  }

  /** The report roots of all other data centres with members. */
  otherReportRoots(): string[] {
    return [...this.membersByDataCentre.keys()]
      .filter(dataCentre => dataCentre !== this.self.dataCentre)
      .flatMap(dataCentre => this.reportRootOf(dataCentre) ?? []);
  }

  /** The push tree of the node's data centre with this root. */
  treeOf(root: string): PushTree {
    let tree = this.trees.get(root);
    if (!tree) {
      const members = this.membersByDataCentre.get(this.self.dataCentre) ?? [];
      tree = new PushTree(root, members);
      this.trees.set(root, tree);
    }
    return tree;
  }

  private selectWitnesses(): Witnesses {
    const near = this.relays.filter(id => id !== this.self.id);
    const far = [...this.regionDataCentres]
      .filter(dataCentre => dataCentre !== this.self.dataCentre)
      .flatMap(dataCentre => this.relaysOf(dataCentre).slice(0, 1));
    return {near, far};
  }

  private add(peer: ConfigPeer): void {
    const members = this.membersByDataCentre.get(peer.dataCentre) ?? [];
    members.push(peer.id);
    this.membersByDataCentre.set(peer.dataCentre, members);
    this.dataCentres.set(peer.id, peer.dataCentre);
    if (peer.region === this.self.region) {
      this.regionDataCentres.add(peer.dataCentre);
    }
  }
}
