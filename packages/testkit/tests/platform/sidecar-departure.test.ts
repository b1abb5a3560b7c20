import {setTimeout as sleep} from 'node:timers/promises';

import {expect} from 'chai';

import {waitUntil} from '../../src/mesh/wait-until.js';
import {configDocument} from '../../src/platform/config-document.js';
import {nextNetwork, ProcessHost} from '../../src/platform/process-host.js';
import {
  StoreServer,
  type StoreFaults,
} from '../../src/platform/store-server.js';

const CONFIG = configDocument(7, {d: 'desk'});
const GRACE_MS = 2_500;
const REQUEST_INTERVAL_MS = 20;
/** Time in ms of requests after the late heartbeat; departures are awaited 3 s. */
const REQUESTS_MS = 4_500;
/** Time limit in ms for a node to start and join. */
const START_TIMEOUT_MS = 15_000;

type Fault = keyof StoreFaults;

/** Times at which the store does not serve. */
interface Schedule {
  /** From before the departure until the node has ended. */
  untilRestart?: Fault;
  /** From the acknowledgement of the departure to the end. */
  fromDeparture?: Fault;
}

const SCHEDULES: Record<string, Schedule> = {
  'the store serves': {},
  'the store refuses calls until the restart': {untilRestart: 'down'},
  'the store is silent until the restart': {untilRestart: 'silent'},
  'the store refuses calls after the departure': {fromDeparture: 'down'},
  'the store is silent after the departure': {fromDeparture: 'silent'},
  'the store never serves again': {untilRestart: 'down', fromDeparture: 'down'},
};

/** How the server leaves, and how its node ends. */
const DEPARTURES = [
  {leaves: 'draining', ends: 'SIGKILL'},
  {leaves: 'draining', ends: 'SIGTERM'},
  {leaves: 'deregister', ends: 'SIGKILL'},
  {leaves: 'deregister', ends: 'SIGTERM'},
] as const;

async function eventually(isMet: () => Promise<boolean>, what: string) {
  expect(await waitUntil(isMet, START_TIMEOUT_MS), what).to.not.equal(
    undefined,
  );
}

/** Runs at each server that has left, after the late heartbeats. */
async function play({
  untilRestart,
  fromDeparture,
}: Schedule): Promise<number[]> {
  const store = new StoreServer();
  const storePort = await store.listen();
  store.put('keyed.op', 'config', CONFIG);
  const network = nextNetwork();
  const settings = {shutdownGraceMs: GRACE_MS};
  const hosts = Array.from(
    {length: DEPARTURES.length + 1},
    (unused, index) =>
      new ProcessHost({network, index: index + 1, storePort, settings}),
  );
  const [entry, ...leaving] = hosts as [ProcessHost, ...ProcessHost[]];
  const set = (fault: Fault | undefined, isOn: boolean) => {
    if (fault) store.faults[fault] = isOn;
  };
  try {
    for (const {app} of hosts) await app.listen();
    for (const host of hosts) {
      const isUp = async () => (await host.report('ready')) === 200;
      await eventually(isUp, 'the report acknowledged');
    }
    await eventually(async () => {
      await entry.call('/d/x');
      return hosts.every(({app}) => app.runs.length > 0);
    }, 'all servers in use');
    set(untilRestart, true);
    await Promise.all(
      leaving.map(async (host, index) => {
        const {leaves, ends} = DEPARTURES[index]!;
        const {app} = host;
        const left =
          leaves === 'draining' ? app.report('draining') : app.deregister();
        expect(await left).to.equal(200);
        set(fromDeparture, true);
        await host.end(ends);
      }),
    );
    if (!fromDeparture) set(untilRestart, false);
    const before = leaving.map(({app}) => app.runs.length);
    for (const host of leaving) host.restart();
    for (const host of leaving) {
      const isUp = async () => (await host.reportLate()) === 200;
      await eventually(isUp, 'the late report acknowledged');
    }
    const endMs = performance.now() + REQUESTS_MS;
    const answers: Promise<number>[] = [];
    while (performance.now() < endMs) {
      answers.push(...hosts.map(host => host.call('/d/x')));
      await sleep(REQUEST_INTERVAL_MS);
    }
    expect(await Promise.all(answers)).to.include(200);
    return leaving.map(({app}, index) => app.runs.length - before[index]!);
  } finally {
    await Promise.all(hosts.map(host => host.end('SIGKILL')));
    for (const {app} of hosts) await app.close();
    await store.close();
  }
}

// A server that has left received requests again after a restart of its node,
// on the word of a late heartbeat: its departure had not been stored or read.
describe('departure of a server across a restart of its node', function () {
  this.timeout(60_000);

  it('is kept whenever the store serves', async () => {
    const entries = Object.entries(SCHEDULES);
    const runs = await Promise.all(
      entries.map(([, schedule]) => play(schedule)),
    );
    const byName = Object.fromEntries(
      entries.map(([name], index) => [name, runs[index]]),
    );
    const none = DEPARTURES.map(() => 0);
    const expected = entries.map(([name]) => [name, none]);
    expect(byName).to.deep.equal(Object.fromEntries(expected));
  });
});
