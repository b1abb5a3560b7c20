import {SeededRandom} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';
import {expect} from 'chai';

import {ConfigPeers} from '../../src/config/config-peers.js';
import {rankNodes} from '../../src/config/source-choice.js';

const OWN = 'a-1';
/** Status of each node; its data centre is the first letter of its id. */
const STATUSES: Readonly<Record<string, string>> = {
  [OWN]: 'alive',
  'a-2': 'alive',
  'a-3': 'suspect',
  'a-4': 'dead',
  'a-5': 'alive',
  'b-1': 'alive',
  'b-2': 'alive',
  'c-1': 'suspect',
  'd-1': 'alive',
};

function createPeers(): ConfigPeers {
  const peers = new ConfigPeers({
    nodeId: OWN,
    dataCentre: 'a',
    random: new SeededRandom(1),
  });
  const members = Object.entries(STATUSES).map(([id, status]) => ({
    id,
    status,
    dataCentre: id.charAt(0),
  }));
  peers.update(members as unknown as MemberRecord[]);
  return peers;
}

describe('ConfigPeers', () => {
  const ranked = rankNodes([OWN, 'a-2', 'a-5']);

  it('sends to the nodes of the data centre that may live', () => {
    expect(createPeers().local).to.have.members(['a-2', 'a-3', 'a-5']);
  });

  it('ranks the live nodes of the data centre', () => {
    const peers = createPeers();
    const rank = ranked.indexOf(OWN);
    expect(peers.rank).to.equal(rank);
    const lower = Object.keys(STATUSES).filter(id => peers.isOfLowerRank(id));
    expect(lower).to.have.members(ranked.slice(0, rank));
  });

  it('is the reader while it knows no other node', () => {
    const parts = {
      nodeId: OWN,
      dataCentre: 'a',
      random: new SeededRandom(1),
    };
    const peers = new ConfigPeers(parts);
    expect(peers.rank).to.equal(0);
    expect(peers.pickAny()).to.deep.equal([]);
    expect(peers.pickRemote()).to.deep.equal([]);
  });

  it('picks one live node of each other data centre', () => {
    const seen = new Set<string>();
    const peers = createPeers();
    for (let i = 0; i < 20; i++) {
      const picks = peers.pickRemote();
      expect(picks.map(id => id.charAt(0))).to.have.members(['b', 'd']);
      for (const id of picks) seen.add(id);
    }
    expect([...seen]).to.have.members(['b-1', 'b-2', 'd-1']);
  });

  it('picks a node of the data centre and another one', () => {
    const peers = createPeers();
    for (let i = 0; i < 20; i++) {
      const [local, other] = peers.pickAny();
      expect(local).to.match(/^a-[235]$/);
      expect(other).to.not.equal(local);
      expect(STATUSES[other ?? '']).to.equal('alive');
    }
  });

  it('samples live nodes of the data centre without itself', () => {
    expect(createPeers().sampleLocal(9)).to.have.members(['a-2', 'a-5']);
  });
});
