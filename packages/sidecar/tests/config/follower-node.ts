/** A follower whose messages and store the test drives. */

import {Bus} from '@turmericmill/node';
import {
  CONFIG_KEY,
  Store,
  type KeyedPage,
  type PollOptions,
  type StoreError,
} from '@turmericmill/platform-adapter';
import {ConfigFreshness} from '@turmericmill/routing';
import {
  Err,
  ManualClock,
  Ok,
  ProgressClock,
  SeededRandom,
  type Result,
} from '@turmericmill/utils';
import type {MemberRecord, Message} from '@turmericmill/wire';
import bunyan from 'bunyan';

import {ConfigConfirmation} from '../../src/config/config-confirmation.js';
import {RolloutView} from '../../src/rollout/rollout-view.js';
import {ConfigFollower} from '../../src/config/config-follower.js';
import {StoreEra} from '../../src/store-era.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});

export const NODES = ['n-0', 'n-1', 'n-2', 'n-3'];
export const BOUND_MS = 2_000;
/** Interval in ms at which the store's calls are checked. */
const CHECK_INTERVAL_MS = 20;
/** Turns of the event loop in which a read and its notices are processed. */
const TURNS = 10;

/** A store that answers a read when the test publishes. */
export class ScriptedStore extends Store {
  private waiting: ((page: KeyedPage) => void) | undefined;
  private endOffset = 0;
  /** False if a read returns at once, also without a record. */
  waits = true;
  /** The newest document at the first read. */
  first: Uint8Array | undefined;
  /** Calls of the store, in order. */
  readonly calls: string[] = [];

  publish(value: Uint8Array, key = CONFIG_KEY): void {
    const offset = this.endOffset;
    this.endOffset += 1;
    const records = [{key, value, offset}];
    const {waiting} = this;
    this.waiting = undefined;
    waiting?.({records, endOffset: this.endOffset});
  }

  override newest(): Promise<Result<KeyedPage, StoreError>> {
    this.calls.push('newest');
    const {first} = this;
    const records = first ? [{key: CONFIG_KEY, value: first, offset: 0}] : [];
    return Promise.resolve(Ok({records, endOffset: records.length}));
  }

  override read(
    unusedTopic?: string,
    unusedFrom?: number,
    unusedWaitMs?: number,
    {signal}: PollOptions = {},
  ): Promise<Result<KeyedPage, StoreError>> {
    this.calls.push('read');
    if (!this.waits) {
      return Promise.resolve(Ok({records: [], endOffset: this.endOffset}));
    }
    return new Promise(resolve => {
      this.waiting = page => resolve(Ok(page));
      signal?.addEventListener('abort', () => {
        this.waiting = undefined;
        resolve(Err({code: 'unknown', message: 'aborted'}));
      });
    });
  }

  /** Ends a read that waits without a record. */
  endWait(): void {
    const {waiting, endOffset} = this;
    this.waiting = undefined;
    waiting?.({records: [], endOffset});
  }

  override put(): Promise<Result<void, StoreError>> {
    return Promise.resolve(Ok(undefined));
  }

  override close(): void {
    this.waiting = undefined;
  }
}

export interface Sent {
  nodeId: string;
  message: Message;
}

/** A node whose messages the test delivers. */
export class FollowerNode {
  readonly bus = new Bus();
  readonly store = new ScriptedStore();
  readonly storeEra = new StoreEra(SILENT);
  readonly sent: Sent[] = [];
  readonly follower: ConfigFollower;
  readonly clock = new ManualClock(1_000);
  readonly wallClock = new ManualClock(7_000_000);
  readonly confirmation: ConfigConfirmation;
  readonly rollouts = new RolloutView(this.clock, SILENT);

  constructor(
    readonly nodeId: string,
    revokeMs?: number,
  ) {
    this.bus.subscribe('send-peer', ({nodeId: to, message}) => {
      this.sent.push({nodeId: to, message});
    });
    this.confirmation = new ConfigConfirmation({
      freshness: new ConfigFreshness(revokeMs),
      clock: new ProgressClock(this.clock, this.wallClock),
      random: new SeededRandom(1),
      bus: this.bus,
    });
    this.follower = new ConfigFollower({
      nodeId,
      dataCentre: 'a',
      configInForceMs: BOUND_MS,
      store: this.store,
      storeEra: this.storeEra,
      confirmation: this.confirmation,
      rollouts: this.rollouts,
      bus: this.bus,
      clock: this.clock,
      random: new SeededRandom(1),
      logger: SILENT,
    });
    this.setStatus();
  }

  /** Puts all nodes in the view, alive but for those named. */
  setStatus(statuses: Readonly<Record<string, string>> = {}): void {
    const members = NODES.map(id => ({
      id,
      dataCentre: 'a',
      status: statuses[id] ?? 'alive',
    }));
    this.bus.publish('view-changed', {
      members: members as unknown as MemberRecord[],
    });
  }

  /** Delivers a message of the node with the id `from`. */
  deliver(message: Message, from: string): void {
    const peer = {nodeId: from, incarnation: 1} as never;
    this.bus.publishPeerMessage(peer, message);
  }

  /** Removes all sent messages and returns those to `nodeId`. */
  takeSentTo(nodeId: string): Message[] {
    const messages = this.sent.filter(one => one.nodeId === nodeId);
    this.sent.length = 0;
    return messages.map(({message}) => message);
  }
}

export async function waitUntilSettled(): Promise<void> {
  for (let i = 0; i < TURNS; i++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** Resolves once the store has been called `count` times. */
export async function waitForCalls(
  store: ScriptedStore,
  count: number,
): Promise<void> {
  while (store.calls.length < count) {
    await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
  }
}
