import {install, type Clock as FakeTimers} from '@sinonjs/fake-timers';
import type {ServerStart} from '@turmericmill/membership';
import {SeededRandom} from '@turmericmill/utils';
import bunyan from 'bunyan';
import {expect} from 'chai';
import fc from 'fast-check';

import {StoreEra} from '../../src/store-era.js';
import {parseNodeEntry} from '../../src/tasks/node-entry.js';
import {StoreSeeds} from '../../src/tasks/store-seeds.js';
import {ReturningStore, ReturningTopic} from './returning-store.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});
const START_MS = 1_000_000;
/** Time in ms in which the nodes of a fleet start and write their entries. */
const SETTLE_MS = 2_000;
/** Time in ms within which all nodes know of a return: a beacon of a reader. */
const TOLD_MS = 300;
/**
 * Time in ms within which an entry is back: the longest delay between attempts,
 * the timeout of a call, and the time over which entries are spread.
 */
const RESTORED_MS = 8_000;
const MS_PER_S = 1_000;
/** Time in ms of an append; more than the queue's limit waiting is refused. */
const APPEND_MS = 2;
const MAX_QUEUE_MS = 2_000;

/** Runs of the property; a longer one is made with this variable. */
const RUNS = Number(process.env['STORE_RETURN_RUNS'] ?? 300);

/** A fleet whose nodes write their entries to one store. */
class Fleet {
  private readonly timers: FakeTimers = install({
    now: START_MS,
    toFake: ['setTimeout', 'clearTimeout'],
  });
  readonly topic = new ReturningTopic();
  private readonly random = new SeededRandom(1);
  private readonly nodes = new Map<
    string,
    {seeds: StoreSeeds; storeEra: StoreEra}
  >();
  /** Departures that a node has at its start from its entry. */
  readonly restored = new Map<string, readonly ServerStart[]>();

  constructor(private readonly hostCount: number) {
    for (let i = 0; i < hostCount; i++) this.start(`n-${i}`, true);
  }

  stop(): void {
    for (const {seeds} of this.nodes.values()) seeds.close();
    this.timers.uninstall();
  }

  start(nodeId: string, isFirstStart: boolean): void {
    const storeEra = new StoreEra(SILENT);
    const index = Number(nodeId.slice('n-'.length));
    const now = () => this.timers.now;
    const seeds = new StoreSeeds({
      nodeId,
      own: {address: `10.0.0.${index}`, port: 7_660},
      isFirstStart,
      store: new ReturningStore(this.topic, storeEra, now),
      storeEra,
      clock: {now},
      random: this.random,
      logger: SILENT,
      hostCount: () => this.hostCount,
      onDeparted: departed => this.restored.set(nodeId, departed),
    });
    seeds.start(() => undefined);
    this.nodes.set(nodeId, {seeds, storeEra});
  }

  restart(nodeId: string): void {
    this.nodes.get(nodeId)?.seeds.close();
    this.start(nodeId, false);
  }

  seedsOf(nodeId: string): StoreSeeds {
    return this.nodes.get(nodeId)!.seeds;
  }

  /** All nodes hear of the store's era, as by a beacon. */
  tellEra(): void {
    for (const {storeEra} of this.nodes.values()) {
      storeEra.observe(this.topic.era, 'peer');
    }
  }

  async pass(ms: number): Promise<void> {
    await this.timers.tickAsync(ms);
  }

  /** Departures in the entry of a node; undefined if there is no entry. */
  storedOf(nodeId: string): readonly ServerStart[] | undefined {
    const value = this.topic.entries().find(([key]) => key === nodeId)?.[1];
    if (!value) return undefined;
    return parseNodeEntry({key: nodeId, value, offset: 0})?.departed;
  }

  get missing(): number {
    return this.hostCount - this.topic.entries().length;
  }
}

/** Most values that lie within `spanMs` of each other. */
function mostWithin(timesMs: readonly number[], spanMs: number): number {
  const counts = timesMs.map(
    from => timesMs.filter(ms => ms >= from && ms < from + spanMs).length,
  );
  return Math.max(0, ...counts);
}

/** Longest time in ms for which an append waits for those before it. */
function longestQueueMs(timesMs: readonly number[]): number {
  let freeAtMs = 0;
  let longestMs = 0;
  for (const ms of [...timesMs].sort((a, b) => a - b)) {
    longestMs = Math.max(longestMs, freeAtMs - ms);
    freeAtMs = Math.max(freeAtMs, ms) + APPEND_MS;
  }
  return longestMs;
}

// Entries that the store had acknowledged stayed lost after its return.
describe('entries of nodes after the store has returned from a copy', () => {
  let fleet: Fleet;

  afterEach(() => fleet.stop());

  const fleets: readonly [number, number][] = [
    [12, 400],
    [63, 1_200],
    [89, 1_200],
    [195, 3_200],
  ];
  for (const [hosts, writesPerS] of fleets) {
    for (const hasDepartures of [false, true]) {
      const what = hasDepartures ? 'departures' : 'endpoints';
      it(`are written again, once each, over a while: ${what} of ${hosts} hosts`, async () => {
        fleet = new Fleet(hosts);
        const empty = fleet.topic.copy();
        await fleet.pass(SETTLE_MS);
        if (hasDepartures) {
          for (let i = 0; i < hosts; i++) {
            const left = {serverId: `i-${i}`, bornMs: 1};
            void fleet.seedsOf(`n-${i}`).saveDeparted([left]);
          }
          await fleet.pass(SETTLE_MS);
        }
        expect(fleet.missing).to.equal(0);
        const {writeTimesMs} = fleet.topic;
        writeTimesMs.length = 0;
        fleet.topic.returnFrom(empty);
        fleet.tellEra();
        await fleet.pass(RESTORED_MS);
        expect(fleet.missing).to.equal(0);
        expect(writeTimesMs).to.have.length(hosts);
        const perS = mostWithin(writeTimesMs, MS_PER_S);
        // Calls of other kinds need most of the limit.
        expect(perS).to.be.at.most(writesPerS / 4);
        expect(longestQueueMs(writeTimesMs)).to.be.below(MAX_QUEUE_MS / 4);
      });
    }
  }

  it('are written again before a planned stop ends', async () => {
    fleet = new Fleet(195);
    const left = {serverId: 'i-1', bornMs: 1};
    const empty = fleet.topic.copy();
    await fleet.pass(SETTLE_MS);
    void fleet.seedsOf('n-0').saveDeparted([left]);
    await fleet.pass(SETTLE_MS);
    fleet.topic.returnFrom(empty);
    fleet.tellEra();
    const flushed = fleet.seedsOf('n-0').flush(START_MS + 10 * SETTLE_MS);
    await fleet.pass(100);
    await flushed;
    expect(fleet.storedOf('n-0')).to.deep.equal([left]);
  });

  const nodeId = fc.constantFrom('n-0', 'n-1', 'n-2');
  const step = fc.oneof(
    fc.record({type: fc.constant('leave' as const), nodeId}),
    fc.constant({type: 'copy'} as const),
    fc.record({type: fc.constant('return' as const), isTold: fc.boolean()}),
    fc.record({type: fc.constant('restart' as const), nodeId}),
    fc.record({type: fc.constant('away' as const), isAway: fc.boolean()}),
    fc.record({
      type: fc.constant('late' as const),
      lateMs: fc.option(fc.integer({min: 0, max: 4_000}), {nil: undefined}),
    }),
    fc.record({
      type: fc.constant('pass' as const),
      ms: fc.integer({min: 1, max: 1_200}),
    }),
  );
  const steps = fc.array(step, {maxLength: 30});
  type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

  /** Departures that the nodes of a course of events know. */
  class Course {
    private readonly known = new Map<string, readonly ServerStart[]>();
    private copy = fleet.topic.copy();
    private lastServer = 0;

    departedOf(id: string): readonly ServerStart[] {
      return this.known.get(id) ?? [];
    }

    async perform(one: Step): Promise<void> {
      switch (one.type) {
        case 'leave':
          this.leave(one.nodeId);
          break;
        case 'copy':
          this.copy = fleet.topic.copy();
          break;
        case 'return':
          fleet.topic.returnFrom(this.copy);
          if (one.isTold) fleet.tellEra();
          break;
        case 'restart':
          await this.restart(one.nodeId);
          break;
        case 'away':
          fleet.topic.isAway = one.isAway;
          break;
        case 'late':
          fleet.topic.lateMs = one.lateMs;
          break;
        case 'pass':
          await fleet.pass(one.ms);
          break;
      }
    }

    private leave(id: string): void {
      this.lastServer += 1;
      const left = {serverId: `i-${this.lastServer}`, bornMs: 1};
      const departed = [...this.departedOf(id), left];
      this.known.set(id, departed);
      void fleet.seedsOf(id).saveDeparted(departed);
    }

    /** A process that starts knows what its entry has, and no more. */
    private async restart(id: string): Promise<void> {
      fleet.topic.isAway = false;
      fleet.restored.delete(id);
      fleet.restart(id);
      await fleet.pass(SETTLE_MS);
      this.known.set(id, fleet.restored.get(id) ?? []);
    }
  }

  it('name all departures a while after any course of events', async function () {
    this.timeout(120_000);
    await fc.assert(
      fc
        .asyncProperty(steps, async taken => {
          fleet = new Fleet(3);
          const course = new Course();
          await fleet.pass(SETTLE_MS);
          for (const one of taken) await course.perform(one);
          fleet.topic.isAway = false;
          fleet.topic.lateMs = undefined;
          await fleet.pass(TOLD_MS);
          fleet.tellEra();
          await fleet.pass(RESTORED_MS);
          for (const id of ['n-0', 'n-1', 'n-2']) {
            const stored = fleet.storedOf(id);
            expect(stored, id).to.include.deep.members([
              ...course.departedOf(id),
            ]);
          }
        })
        .afterEach(() => fleet.stop()),
      {numRuns: RUNS, seed: 38},
    );
  });
});
