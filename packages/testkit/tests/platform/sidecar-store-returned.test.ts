import {setTimeout as sleep} from 'node:timers/promises';

import {expect} from 'chai';

import {waitUntil} from '../../src/mesh/wait-until.js';
import {configDocument} from '../../src/platform/config-document.js';
import {nextNetwork, ProcessHost} from '../../src/platform/process-host.js';
import {
  StoreServer,
  type PollsAtReturn,
  type StoreCopy,
} from '../../src/platform/store-server.js';

const CONFIG_IN_FORCE_MS = 2_000;
/** Time limit in ms for nodes to start and to have the first versions. */
const START_TIMEOUT_MS = 15_000;
/** Records besides the configuration that the operator writes since a copy. */
const OTHER_RECORDS = 4;
/** Time in ms between two returns. */
const NEXT_RETURN_MS = 1_000;
const HOSTS = 4;

interface Drill {
  polls: PollsAtReturn;
  /** Time in ms for which the store refuses calls before it returns. */
  awayMs?: number;
  /** Number of returns; 1 by default. */
  returns?: number;
  /** The first host is killed and started again once the store returns. */
  restart?: boolean;
  /** Records that are written again, less than were lost. */
  missingRecords?: number;
}

const DRILLS: Record<string, Drill> = {
  'long polls end': {polls: 'ended'},
  'long polls hang': {polls: 'hung'},
  'long polls are answered': {polls: 'answered'},
  'long polls are answered late, as of before': {polls: 'stale'},
  'fewer records than before, long polls end': {
    polls: 'ended',
    missingRecords: 2,
  },
  'fewer records than before, long polls are answered late': {
    polls: 'stale',
    missingRecords: 2,
  },
  'the store is away': {polls: 'ended', awayMs: 250},
  'two returns, long polls end': {polls: 'ended', returns: 2},
  'two returns, long polls hang': {polls: 'hung', returns: 2},
  'beside a restart, long polls are answered': {
    polls: 'answered',
    restart: true,
  },
};

/** Hosts in two data centres at a store that returns from a copy. */
class Deployment {
  readonly store = new StoreServer();
  hosts: ProcessHost[] = [];
  private version = 20;

  async start(): Promise<void> {
    const storePort = await this.store.listen();
    this.publish();
    const network = nextNetwork();
    this.hosts = Array.from({length: HOSTS}, (unused, index) => {
      const dataCentre = index % 2 === 0 ? 'a' : 'b';
      const settings = {dataCentre, configInForceMs: CONFIG_IN_FORCE_MS};
      return new ProcessHost({network, index: index + 1, storePort, settings});
    });
    for (const {app} of this.hosts) await app.listen();
    const isUp = async (host: ProcessHost) =>
      (await host.report('ready')) === 200 &&
      (await host.call(this.newestPath)) === 200;
    for (const host of this.hosts) await eventually(() => isUp(host));
  }

  async stop(): Promise<void> {
    await Promise.all(this.hosts.map(host => host.end('SIGKILL')));
    for (const {app} of this.hosts) await app.close();
    await this.store.close();
  }

  /** Publishes a version with a route of its own. */
  publish(): void {
    this.version += 4;
    this.writeConfig();
  }

  /** Path of the route that the newest version has added. */
  get newestPath(): string {
    return `/v${this.version}/x`;
  }

  writeConfig(): void {
    const routes = {[`v${this.version}`]: 'desk'};
    this.store.put('keyed.op', 'config', configDocument(this.version, routes));
  }

  writeOthers(count: number): void {
    for (let i = 0; i < count; i++) {
      this.store.put('keyed.op', `other-${i}`, '{}');
    }
  }

  /** Answers of all hosts to a request on the newest version's route. */
  answers(): Promise<number[]> {
    return Promise.all(this.hosts.map(host => host.call(this.newestPath)));
  }

  /** Returns from a copy; what the operator wrote since is written again. */
  async returnFrom(copy: StoreCopy, drill: Drill): Promise<void> {
    const {store} = this;
    if (drill.awayMs !== undefined) {
      store.faults.down = true;
      await sleep(drill.awayMs);
      store.faults.down = false;
    }
    store.returnFrom(copy, drill.polls);
    this.writeConfig();
    this.publish();
    this.writeOthers(OTHER_RECORDS - (drill.missingRecords ?? 0) - 1);
  }
}

async function eventually(isMet: () => Promise<boolean>): Promise<void> {
  expect(await waitUntil(isMet, START_TIMEOUT_MS)).to.not.equal(undefined);
}

/** Returns the answers at the end of the bound. */
async function play(drill: Drill): Promise<number[]> {
  const deployment = new Deployment();
  try {
    await deployment.start();
    for (let i = 0; i < (drill.returns ?? 1); i++) {
      if (i > 0) await sleep(NEXT_RETURN_MS);
      const copy = deployment.store.copy();
      deployment.publish();
      deployment.writeOthers(OTHER_RECORDS);
      await eventually(async () =>
        (await deployment.answers()).every(status => status === 200),
      );
      await deployment.returnFrom(copy, drill);
    }
    const [restarted] = deployment.hosts;
    if (drill.restart && restarted) {
      await restarted.end('SIGKILL');
      restarted.restart();
    }
    await sleep(CONFIG_IN_FORCE_MS);
    return await deployment.answers();
  } finally {
    await deployment.stop();
  }
}

// A reader went on from an offset that the store had given out again: callers
// got 404 for the route of a version that was written meanwhile.
describe('change published after the store has returned from a copy', function () {
  this.timeout(90_000);

  for (const [name, drill] of Object.entries(DRILLS)) {
    it(`is in force everywhere in time: ${name}`, async () => {
      expect(await play(drill)).to.deep.equal(new Array(HOSTS).fill(200));
    });
  }
});
