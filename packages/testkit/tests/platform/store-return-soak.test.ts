import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {SeededRandom} from '@turmericmill/utils';
import {expect} from 'chai';

import {waitUntil} from '../../src/mesh/wait-until.js';
import {
  LONG_ANSWER_BYTES,
  LONG_PATH_END,
} from '../../src/platform/app-server.js';
import {configDocument} from '../../src/platform/config-document.js';
import {nextNetwork, ProcessHost} from '../../src/platform/process-host.js';
import {
  StoreServer,
  type PollsAtReturn,
  type StoreCopy,
} from '../../src/platform/store-server.js';

/** Number of courses; each takes some 20 s, and some of them run together. */
const SEEDS = Number(process.env['STORE_SOAK_SEEDS'] ?? 3);
const FIRST_SEED = Number(process.env['STORE_SOAK_FIRST_SEED'] ?? 1);
const TOGETHER = 3;

const HOSTS = 6;
const STEPS = 14;
const CONFIG_IN_FORCE_MS = 2_000;
const GRACE_MS = 2_500;
const START_TIMEOUT_MS = 20_000;
/** Longest time in ms between two events. */
const MAX_PAUSE_MS = 900;
const MAX_AWAY_MS = 700;
const PROBE_INTERVAL_MS = 50;
/** Bandwidth of thin links, which long answers fill, and of others. */
const THIN_LINK_MBPS = 8;
const LINK_MBPS = 1_000;
/**
 * Time in ms in which a restarted node joins, reads and has all notices: the
 * `stability_window` of the platform.
 */
const JOIN_MS = 3_000;

/**
 * Time in ms within which an entry is back: the longest delay between attempts
 * and the timeout of a call.
 */
const RESTORE_TIMEOUT_MS = 8_000;

const POLLS: readonly PollsAtReturn[] = ['ended', 'hung', 'answered', 'stale'];

/** A host, and what its node has shown in this boot. */
interface SoakHost {
  host: ProcessHost;
  boot: number;
  /** Greatest version whose route the node has served in this boot. */
  served: number;
}

class Soak {
  private readonly random: SeededRandom;
  private readonly store = new StoreServer();
  private readonly hosts: SoakHost[] = [];
  private readonly routes: Record<string, string> = {};
  private readonly background: Promise<void>[] = [];
  private copy: StoreCopy | undefined;
  private version = 1;
  private isOver = false;
  /** Versions that a node did not serve any more after it had in this boot. */
  readonly regressions: string[] = [];
  /** Long answers that looked complete, and lacked bytes or had too many. */
  readonly wrongAnswers: string[] = [];

  constructor(readonly seed: number) {
    this.random = new SeededRandom(seed);
  }

  async run(): Promise<string[]> {
    await this.start();
    const probes = this.hosts.flatMap(host => [
      this.probe(host),
      this.transfer(host),
    ]);
    try {
      for (let i = 0; i < STEPS; i++) {
        await this.perform();
        await sleep(this.random.nextInt(MAX_PAUSE_MS));
      }
      this.store.faults.holdAppends = false;
      await Promise.all(this.background);
      await sleep(JOIN_MS);
      this.publish();
      this.writeOthers();
      await sleep(CONFIG_IN_FORCE_MS);
      return [...(await this.late()), ...(await this.missingEntries())];
    } finally {
      this.isOver = true;
      await Promise.all(probes);
      await this.stop();
    }
  }

  private async start(): Promise<void> {
    const storePort = await this.store.listen();
    this.publish();
    this.copy = this.store.copy();
    const network = nextNetwork();
    for (let index = 1; index <= HOSTS; index++) {
      const settings = {
        dataCentre: index % 2 === 0 ? 'a' : 'b',
        configInForceMs: CONFIG_IN_FORCE_MS,
        shutdownGraceMs: GRACE_MS,
        linkMbps: this.seed % 2 === 0 ? THIN_LINK_MBPS : LINK_MBPS,
      };
      const host = new ProcessHost({network, index, storePort, settings});
      this.hosts.push({host, boot: 0, served: 0});
      await host.app.listen();
    }
    const path = this.pathOf(this.version);
    for (const {host} of this.hosts) {
      const isUp = async () =>
        (await host.report('ready')) === 200 && (await host.call(path)) === 200;
      const metMs = await waitUntil(isUp, START_TIMEOUT_MS);
      if (metMs === undefined) throw new Error('A node did not start.');
    }
  }

  private async stop(): Promise<void> {
    await Promise.all(this.hosts.map(({host}) => host.end('SIGKILL')));
    for (const {host} of this.hosts) await host.app.close();
    await this.store.close();
  }

  private pathOf(version: number): string {
    return `/v${version}/x`;
  }

  /** Publishes a version that adds a route to those before. */
  private publish(): void {
    this.version += 1;
    this.routes[`v${this.version}`] = 'desk';
    this.writeConfig();
  }

  private writeConfig(): void {
    const document = configDocument(this.version, this.routes);
    this.store.put('keyed.op', 'config', document);
  }

  private writeOthers(): void {
    const count = this.random.nextInt(4);
    for (let i = 0; i < count; i++) {
      this.store.put('keyed.op', `other-${i}`, '{}');
    }
  }

  private async perform(): Promise<void> {
    const {random, store} = this;
    const event = random.pick([
      'publish',
      'publish',
      'others',
      'copy',
      'return',
      'return',
      'restart',
      'hold',
    ] as const);
    switch (event) {
      case 'publish':
        this.publish();
        break;
      case 'others':
        this.writeOthers();
        break;
      case 'copy':
        this.copy = store.copy();
        break;
      case 'return':
        await this.returnFromCopy();
        break;
      case 'restart':
        this.background.push(this.restart());
        break;
      case 'hold':
        store.faults.holdAppends = !store.faults.holdAppends;
        break;
      case undefined:
        break;
    }
  }

  private async returnFromCopy(): Promise<void> {
    const {random, store, copy} = this;
    if (!copy) return;
    store.faults.down = random.nextInt(2) === 0;
    if (store.faults.down) await sleep(random.nextInt(MAX_AWAY_MS));
    store.faults.down = false;
    store.returnFrom(copy, random.pick(POLLS) ?? 'ended');
    this.writeConfig();
    this.writeOthers();
  }

  /** Restarts a node while the others, and other restarts, go on. */
  private async restart(): Promise<void> {
    const signal = this.random.pick(['SIGTERM', 'SIGKILL'] as const);
    const one = this.random.pick(this.hosts.filter(({boot}) => boot % 2 === 0));
    if (!one || !signal) return;
    one.boot += 1;
    await one.host.end(signal);
    one.served = 0;
    one.host.restart();
    one.boot += 1;
    const isUp = async () => (await one.host.report('ready')) === 200;
    await waitUntil(isUp, START_TIMEOUT_MS);
  }

  /**
   * Calls the routes of the greatest version served, and of the newest, on
   * connections that are kept until the node closes them.
   */
  private async probe(one: SoakHost): Promise<void> {
    const agent = new Agent({keepAlive: true});
    while (!this.isOver) {
      const {boot, served} = one;
      const {version} = this;
      const [again, newest] = await Promise.all([
        served > 0 ? one.host.call(this.pathOf(served), agent) : 200,
        one.host.call(this.pathOf(version), agent),
      ]);
      if (one.boot === boot && again === 404) {
        this.regressions.push(`${one.host.nodeId}: version ${served}`);
      }
      if (one.boot === boot && newest === 200) {
        one.served = Math.max(one.served, version);
      }
      await sleep(PROBE_INTERVAL_MS);
    }
    agent.destroy();
  }

  /** Requests long answers, one after the other, on a connection that is kept. */
  private async transfer({host}: SoakHost): Promise<void> {
    const agent = new Agent({keepAlive: true});
    const path = this.pathOf(this.version) + LONG_PATH_END;
    while (!this.isOver) {
      const {status, bytes} = await host.fetch(path, agent);
      if (status === 200 && bytes !== LONG_ANSWER_BYTES) {
        this.wrongAnswers.push(`${host.nodeId}: ${bytes} bytes`);
      }
      if (status !== 200) await sleep(PROBE_INTERVAL_MS);
    }
    agent.destroy();
  }

  /** Nodes whose entries are not back. */
  private async missingEntries(): Promise<string[]> {
    const missing = () =>
      this.hosts
        .map(({host}) => host.nodeId)
        .filter(id => !this.store.valueOf('keyed.nodes', id));
    const areBack = () => Promise.resolve(missing().length === 0);
    await waitUntil(areBack, RESTORE_TIMEOUT_MS);
    return missing().map(id => `${id}: no entry`);
  }

  /** Nodes that do not serve the newest version, with their answers. */
  private async late(): Promise<string[]> {
    const path = this.pathOf(this.version);
    const answers = await Promise.all(
      this.hosts.map(async ({host}) => {
        const status = await host.call(path);
        return `${host.nodeId}: ${status}`;
      }),
    );
    return answers.filter(answer => !answer.endsWith(': 200'));
  }
}

// Changes, copies, returns, late writes, outages and restarts in series and
// overlapping, against real processes.
describe('soak of the store that returns from copies', function () {
  this.timeout(0);
  const seeds = Array.from({length: SEEDS}, (unused, i) => FIRST_SEED + i);
  for (let i = 0; i < seeds.length; i += TOGETHER) {
    const some = seeds.slice(i, i + TOGETHER);
    it(`keeps each version in force and puts the last one in force: seeds ${some.join(', ')}`, async () => {
      const soaks = some.map(seed => new Soak(seed));
      const late = await Promise.all(soaks.map(soak => soak.run()));
      const seen = soaks.map(({seed, regressions, wrongAnswers}, index) => ({
        seed,
        late: late[index],
        regressions,
        wrongAnswers,
      }));
      const held = some.map(seed => ({
        seed,
        late: [],
        regressions: [],
        wrongAnswers: [],
      }));
      expect(seen).to.deep.equal(held);
    });
  }
});
