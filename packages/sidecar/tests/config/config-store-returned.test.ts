import {expect} from 'chai';
import fc from 'fast-check';

import {rankNodes} from '../../src/config/source-choice.js';
import {publishedDocument} from './published-document.js';
import {SimulatedDataCentre} from './simulated-data-centre.js';
import type {PollsAtReturn} from './simulated-store.js';

const CONFIG_IN_FORCE_MS = 2_500;
/** Time in ms after the start until all nodes have the first version. */
const SETTLE_MS = 3_000;
const ROUTES = 20;
/** Bytes in a ms of the thinnest link, 4.9 Mbit/s. */
const BYTES_PER_MS = 612;
/** Records besides the configuration that are written since a copy. */
const OTHER_RECORDS = 3;

/** Time in ms after which no long poll of before waits. */
const LONGEST_POLL_MS = 800;

/** Runs of the property; a longer one is made with this variable. */
const RUNS = Number(process.env['STORE_RETURN_RUNS'] ?? 400);

const POLLS: readonly PollsAtReturn[] = ['ended', 'hung', 'answered', 'stale'];
/** What the operator writes again of the versions that the store has lost. */
type WrittenAgain = 'newest' | 'all';
const NODE_IDS = Array.from({length: 24}, (unused, index) => `n-${index}`);

function dataCentreOf(nodeId: string): string {
  return 'abc'.charAt(Number(nodeId.slice('n-'.length)) % 3);
}

/** Three data centres whose operator writes again what the store loses. */
class Drill {
  readonly place: SimulatedDataCentre;
  private readonly versions = new Map<string, number>();
  private copy: ReturnType<SimulatedDataCentre['topic']['copy']>;
  private version = 1;
  /** Versions that were written since the copy. */
  private written: number[] = [];

  constructor(queueMs: Readonly<Record<string, number>> = {}) {
    this.place = new SimulatedDataCentre({
      nodeIds: NODE_IDS,
      configInForceMs: CONFIG_IN_FORCE_MS,
      bytesPerMs: BYTES_PER_MS,
      queueMs,
      dataCentreOf,
    });
    this.write(this.version);
    this.copy = this.place.topic.copy();
    this.written = [];
  }

  async start(): Promise<void> {
    await this.place.start(SETTLE_MS);
    expect(this.behind).to.deep.equal([]);
  }

  publish(): void {
    this.version += 1;
    this.write(this.version);
  }

  /** Writes records that are no configurations; they are not written again. */
  writeOthers(count: number): void {
    for (let i = 0; i < count; i++) this.place.topic.writeOther();
  }

  saveCopy(): void {
    this.copy = this.place.topic.copy();
    this.written = [];
  }

  returnFromCopy(polls: PollsAtReturn, again: WrittenAgain): void {
    const written = again === 'newest' ? this.written.slice(-1) : this.written;
    this.written = [];
    this.place.topic.returnFrom(this.copy, polls);
    for (const version of written) this.write(version);
  }

  /** Lets time pass; throws if a version comes back at a node that runs. */
  async pass(ms: number): Promise<void> {
    await this.place.pass(ms);
    for (const [id, version] of this.place.versions) {
      expect(version, id).to.be.at.least(this.versions.get(id) ?? 0);
      this.versions.set(id, version);
    }
  }

  restart(nodeId: string): void {
    this.place.kill([nodeId]);
    this.versions.delete(nodeId);
    this.place.restart(nodeId);
  }

  get behind(): string[] {
    return this.place.behind(this.version);
  }

  private write(version: number): void {
    this.written.push(version);
    this.place.publish(publishedDocument(version, ROUTES));
  }
}

// Readers went on from offsets that the store had given out again.
describe('distribution after the store has returned from a copy', () => {
  let drill: Drill;

  afterEach(() => drill.place.stop());

  const [reader, second] = rankNodes(
    NODE_IDS.filter(id => dataCentreOf(id) === 'a'),
  ) as [string, string];
  const queues: Record<string, Record<string, number>> = {
    'links are free': {},
    'bytes wait at the link of a reader': {[reader]: 700},
    'bytes wait at the links of a reader and the next': {
      [reader]: 700,
      [second]: 700,
    },
  };
  for (const polls of POLLS) {
    for (const [name, queueMs] of Object.entries(queues)) {
      it(`puts a change in force in time: long polls ${polls}, ${name}`, async () => {
        drill = new Drill(queueMs);
        await drill.start();
        drill.publish();
        drill.writeOthers(OTHER_RECORDS);
        await drill.pass(CONFIG_IN_FORCE_MS);
        drill.returnFromCopy(polls, 'newest');
        drill.publish();
        drill.writeOthers(OTHER_RECORDS - 1);
        await drill.pass(CONFIG_IN_FORCE_MS);
        expect(drill.behind).to.deep.equal([]);
      });
    }
  }

  it('finds a version at another data centre that the store has lost', async () => {
    drill = new Drill();
    await drill.start();
    const others = NODE_IDS.filter(id => dataCentreOf(id) !== 'a');
    for (const id of others) drill.place.setCut(id, true);
    await drill.pass(LONGEST_POLL_MS);
    const copy = drill.place.topic.copy();
    drill.publish();
    await drill.pass(200);
    expect(drill.behind).to.have.members(others);
    for (const id of others) drill.place.setCut(id, false);
    drill.place.topic.returnFrom(copy, 'ended');
    await drill.pass(CONFIG_IN_FORCE_MS);
    expect(drill.behind).to.deep.equal([]);
  });

  const nodeId = fc.constantFrom(...NODE_IDS);
  const step = fc.oneof(
    {weight: 4, arbitrary: fc.constant({type: 'publish'} as const)},
    {
      weight: 3,
      arbitrary: fc.record({
        type: fc.constant('others' as const),
        count: fc.integer({min: 1, max: OTHER_RECORDS}),
      }),
    },
    {weight: 2, arbitrary: fc.constant({type: 'copy'} as const)},
    {
      weight: 3,
      arbitrary: fc.record({
        type: fc.constant('return' as const),
        polls: fc.constantFrom(...POLLS),
        again: fc.constantFrom<WrittenAgain>('newest', 'all'),
        awayMs: fc.constantFrom(0, 0, 30, 400, 1_200),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({type: fc.constant('restart' as const), nodeId}),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        type: fc.constant('cut' as const),
        nodeId,
        isCut: fc.boolean(),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        type: fc.constant('pass' as const),
        ms: fc.integer({min: 1, max: 900}),
      }),
    },
  );
  const steps = fc.array(step, {maxLength: 25});
  type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

  async function perform(one: Step): Promise<void> {
    const {place} = drill;
    switch (one.type) {
      case 'publish':
        drill.publish();
        break;
      case 'others':
        drill.writeOthers(one.count);
        break;
      case 'copy':
        drill.saveCopy();
        break;
      case 'return':
        place.topic.isAway = one.awayMs > 0;
        await drill.pass(one.awayMs);
        place.topic.isAway = false;
        drill.returnFromCopy(one.polls, one.again);
        break;
      case 'restart':
        drill.restart(one.nodeId);
        break;
      case 'cut':
        place.setCut(one.nodeId, one.isCut);
        break;
      case 'pass':
        await drill.pass(one.ms);
        break;
    }
  }

  it('puts the last version in force in time after any course of events', async function () {
    this.timeout(120_000);
    await fc.assert(
      fc
        .asyncProperty(steps, fc.nat(8), async (course, othersAfter) => {
          drill = new Drill();
          await drill.start();
          for (const one of course) await perform(one);
          for (const id of NODE_IDS) drill.place.setCut(id, false);
          drill.publish();
          drill.writeOthers(othersAfter);
          await drill.pass(CONFIG_IN_FORCE_MS);
          expect(drill.behind).to.deep.equal([]);
        })
        .afterEach(() => drill.place.stop()),
      {numRuns: RUNS, seed: 38},
    );
  });
});
