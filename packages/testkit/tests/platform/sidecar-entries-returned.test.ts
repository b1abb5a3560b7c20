import {setTimeout as sleep} from 'node:timers/promises';

import {expect} from 'chai';

import {waitUntil} from '../../src/mesh/wait-until.js';
import {configDocument} from '../../src/platform/config-document.js';
import {nextNetwork, ProcessHost} from '../../src/platform/process-host.js';
import {StoreServer} from '../../src/platform/store-server.js';

const CONFIG = configDocument(7, {d: 'desk'});
const PATH = '/d/x';
const HOSTS = 4;
/** Time limit in ms for nodes to start and join, and for entries to be back. */
const START_TIMEOUT_MS = 15_000;
const RESTORE_TIMEOUT_MS = 4_000;
/** Time in ms of requests after the late heartbeat; departures are awaited 3 s. */
const REQUESTS_MS = 4_500;
const REQUEST_INTERVAL_MS = 20;

async function eventually(
  isMet: () => Promise<boolean>,
  what: string,
  timeoutMs = START_TIMEOUT_MS,
): Promise<void> {
  const metMs = await waitUntil(isMet, timeoutMs);
  expect(metMs, what).to.not.equal(undefined);
}

// The store lost a departure that it had acknowledged, and nobody wrote it again:
// a restarted node used the server on the word of a false health answer.
describe('entries of nodes at a store that has returned from a copy', function () {
  this.timeout(60_000);

  let store: StoreServer;
  let hosts: ProcessHost[] = [];

  beforeEach(async () => {
    store = new StoreServer();
    const storePort = await store.listen();
    store.put('keyed.op', 'config', CONFIG);
    const network = nextNetwork();
    hosts = Array.from(
      {length: HOSTS},
      (unused, index) =>
        new ProcessHost({network, index: index + 1, storePort}),
    );
    for (const {app} of hosts) await app.listen();
    for (const host of hosts) {
      const isUp = async () => (await host.report('ready')) === 200;
      await eventually(isUp, 'the report acknowledged');
    }
  });

  afterEach(async () => {
    await Promise.all(hosts.map(host => host.end('SIGKILL')));
    for (const {app} of hosts) await app.close();
    await store.close();
  });

  function entryOf({nodeId}: ProcessHost): string {
    return String(store.valueOf('keyed.nodes', nodeId) ?? '');
  }

  it('are written again, and keep a server that has left out of use', async () => {
    const [entry, leaving] = hosts as [ProcessHost, ProcessHost];
    const copy = store.copy();
    await eventually(async () => {
      await entry.call(PATH);
      return hosts.every(({app}) => app.runs.length > 0);
    }, 'all servers in use');
    expect(await leaving.report('draining')).to.equal(200);
    const isStored = () =>
      Promise.resolve(entryOf(leaving).includes('"serverId":"i-2"'));
    await eventually(isStored, 'the departure stored');
    store.returnFrom(copy, 'ended');
    store.put('keyed.op', 'config', CONFIG);
    await eventually(isStored, 'the departure back', RESTORE_TIMEOUT_MS);
    const areBack = () =>
      Promise.resolve(hosts.every(host => entryOf(host) !== ''));
    await eventually(areBack, 'all entries back', RESTORE_TIMEOUT_MS);

    const {app} = leaving;
    app.isHealthy = true;
    await leaving.end('SIGKILL');
    const before = app.runs.length;
    leaving.restart();
    const isUp = async () => (await leaving.reportLate()) === 200;
    await eventually(isUp, 'the late report acknowledged');
    const endMs = performance.now() + REQUESTS_MS;
    const answers: Promise<number>[] = [];
    while (performance.now() < endMs) {
      answers.push(...hosts.map(host => host.call(PATH)));
      await sleep(REQUEST_INTERVAL_MS);
    }
    expect(await Promise.all(answers)).to.include(200);
    expect(app.runs.length - before).to.equal(0);
  });
});
