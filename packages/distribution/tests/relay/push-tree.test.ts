import {expect} from 'chai';

import {PUSH_FANOUT, PushTree, Topology} from '../../src/index.js';
import type {ConfigPeer} from '../../src/index.js';

function names(count: number): string[] {
  return Array.from({length: count}, (unused, index) => `n${index}`);
}

describe('PushTree', () => {
  for (const count of [1, 2, 7, 8, 100, 926]) {
    it(`reaches ${count} members once each`, () => {
      const members = names(count);
      const tree = new PushTree('n0', members);
      const reached = ['n0'];
      for (const member of reached) {
        const children = tree.childrenOf(member);
        expect(children.length).to.be.at.most(PUSH_FANOUT);
        for (const child of children) {
          expect(tree.parentOf(child)).to.equal(member);
        }
        reached.push(...children);
      }
      expect(reached.sort()).to.deep.equal([...members].sort());
    });
  }

  it('does not depend on the order of the members', () => {
    const one = new PushTree('n3', names(50));
    const other = new PushTree('n3', names(50).reverse());
    for (const name of names(50)) {
      expect(one.childrenOf(name)).to.deep.equal(other.childrenOf(name));
    }
  });

  it('has neither children nor a parent for a non-member', () => {
    const tree = new PushTree('n0', names(5));
    expect(tree.childrenOf('x')).to.deep.equal([]);
    expect(tree.parentOf('x')).to.equal(undefined);
  });
});

describe('Topology', () => {
  const peers: ConfigPeer[] = names(30).map((id, index) => ({
    id,
    dataCentre: `dc${index % 3}`,
    region: index % 3 === 2 ? 'other' : 'r',
  }));

  it('selects the same relays on all nodes of a data centre', () => {
    const own = peers.filter(peer => peer.dataCentre === 'dc0');
    const relays = own.map(self => new Topology(self, peers).relays);
    for (const list of relays) expect(list).to.deep.equal(relays[0]);
    expect(relays[0]?.length).to.equal(3);
  });

  it('selects remote witnesses only from data centres of the region', () => {
    const self = peers[0] as ConfigPeer;
    const topology = new Topology(self, peers);
    const {near, far} = topology.witnesses();
    expect(far.map(id => topology.dataCentreOf(id))).to.deep.equal(['dc1']);
    expect(near).not.to.include(self.id);
  });

  it('makes a node without peers its own relay', () => {
    const topology = new Topology(peers[0] as ConfigPeer, []);
    expect(topology.isRelay).to.equal(true);
    expect(topology.witnesses()).to.deep.equal({near: [], far: []});
  });
});
