import {expect} from 'chai';

import {benchResources, ConfigFleet} from '../src/bench/config-fleet.js';

const ENFORCED_TIMEOUT_MS = 15_000;
/** Time in ms during which no node may enforce a version. */
const OBSERVATION_MS = 3000;

describe('configuration nodes as processes', () => {
  let fleet: ConfigFleet;

  beforeEach(async () => {
    fleet = new ConfigFleet('convergence');
    await fleet.start(6, benchResources(20));
  });

  afterEach(async () => {
    await fleet.stop();
  });

  it('get the configuration from peers if restarted while the log is down', async () => {
    const version = fleet.log.log.bounds('config').next - 1;
    await fleet.log.stop();
    await fleet.restart(number => number === 4);
    const isEnforced = await fleet.waitUntilEnforced(
      version,
      ENFORCED_TIMEOUT_MS,
    );
    expect(isEnforced).to.equal(true);
    expect(fleet.nodes.map(node => node.falls)).to.deep.equal(
      fleet.nodes.map(() => 0),
    );
  });

  it('enforce no version when all restart while the log is down', async () => {
    await fleet.log.stop();
    await fleet.restart(() => true);
    await new Promise(resolve => setTimeout(resolve, OBSERVATION_MS));
    expect(fleet.nodes.map(node => node.version)).to.deep.equal(
      fleet.nodes.map(() => -1),
    );
  });
});
