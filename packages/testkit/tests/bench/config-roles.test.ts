import {Topology} from '@turmericmill/distribution';
import {expect} from 'chai';

import {roleBytes} from '../../src/bench/config-roles.js';

const HEADER_BYTES = 40;
const [LEAF_BYTES, CHILD_BYTES, RELAY_BYTES, QUIET_BYTES_PER_SECOND] = [
  300, 200, 2000, 70,
];
const TIMES = {quietSeconds: 10, seconds: 20, changes: 5};
const NODES = Array.from({length: 40}, (unused, index) => ({
  id: `node-${index}`,
  dataCentre: 'nairobi-a',
  region: 'nairobi',
}));

/** Bytes that a node sends per change, by its position in the push trees. */
function bytesPerChange(index: number): number {
  const self = NODES[index] as (typeof NODES)[number];
  const topology = new Topology(self, NODES);
  if (topology.isRelay) return RELAY_BYTES;
  const [first, second] = topology.relays.map(root =>
    topology.treeOf(root).childrenOf(self.id),
  );
  return (
    LEAF_BYTES + CHILD_BYTES * ((first?.length ?? 0) + (second?.length ?? 0))
  );
}

describe('roleBytes', () => {
  it('separates the bytes of leaves, children and relays from quiet bytes', () => {
    const quietBytes =
      (QUIET_BYTES_PER_SECOND - HEADER_BYTES) * TIMES.quietSeconds;
    const quiet = NODES.map(node => ({
      ...node,
      controlBytes: quietBytes,
      messages: TIMES.quietSeconds,
    }));
    const busy = NODES.map((node, index) => ({
      ...node,
      controlBytes:
        QUIET_BYTES_PER_SECOND * TIMES.seconds +
        bytesPerChange(index) * TIMES.changes,
      messages: 0,
    }));
    const bytes = roleBytes('convergence', quiet, busy, TIMES);
    expect(bytes.quietBytesPerSecond).to.be.closeTo(
      QUIET_BYTES_PER_SECOND,
      1e-9,
    );
    expect(bytes.leafBytesPerChange).to.be.closeTo(LEAF_BYTES, 1e-6);
    expect(bytes.bytesPerChildAndChange).to.be.closeTo(CHILD_BYTES, 1e-6);
    expect(bytes.relayBytesPerChange).to.be.closeTo(RELAY_BYTES, 1e-6);
  });
});
