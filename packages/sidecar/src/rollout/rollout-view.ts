/** What this node knows of roll-outs: orders and the state of each. */

import {
  formatFindings,
  isRolloutKey,
  parseRolloutOrder,
  type KeyedRecord,
} from '@turmericmill/platform-adapter';
import type {KnownRollout} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';
import type {RolloutOrderNotice, RolloutState} from '@turmericmill/wire';
import type Logger from 'bunyan';

/** The newest order of a service that this node knows, with its state. */
export interface Rollout extends KnownRollout {
  service: string;
  /** Offset of the order's record. */
  offset: number;
  /** Terms of the order; undefined if only its state is known. */
  terms: {durationMs: number; limitMs: number} | undefined;
  /** Time in ms at which this node learned of the order. */
  learnedMs: number;
  /** Node that sent the state; undefined before the first. */
  coordinatorId: string | undefined;
  /** True if all connections to it were lost since it was last heard. */
  isCoordinatorLost: boolean;
}

interface Order {
  service: string;
  targetVersion: string;
  offset: number;
  terms?: Rollout['terms'];
}

type Listener = (rollout: Rollout) => void;

export class RolloutView {
  private readonly rollouts = new Map<string, Rollout>();
  private readonly listeners: Listener[] = [];
  /** Key and offset of malformed orders, which are logged once. */
  private readonly reported = new Set<string>();
  private informed = false;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** True once this node has learned which orders exist. */
  get isInformed(): boolean {
    return this.informed;
  }

  /** Calls `listener` after each change of an order or its state. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Returns the order of a service; undefined if there is none. */
  of(service: string): Rollout | undefined {
    return this.rollouts.get(service);
  }

  /** All orders, also those that are over. */
  all(): readonly Rollout[] {
    return [...this.rollouts.values()];
  }

  /** Orders that still need a coordinator. */
  open(): readonly Rollout[] {
    return this.all().filter(({state}) => !state?.isSettled);
  }

  /** Applies records of the store; returns true if an order is new. */
  applyRecords(records: readonly KeyedRecord[]): boolean {
    let hasNew = false;
    for (const record of records) {
      if (!isRolloutKey(record.key)) continue;
      const order = parseRolloutOrder(record);
      if (order.isErr()) {
        this.reportMalformed(record, formatFindings(order.error));
        continue;
      }
      const {durationMs} = order.value;
      const limitMs = this.clock.now() + durationMs;
      const terms = {durationMs, limitMs};
      if (this.learnOrder({...order.value, terms}, 'store')) hasNew = true;
    }
    this.informed = true;
    return hasNew;
  }

  /** Applies the orders that a node sent; they took `delayMs` to arrive. */
  applyNotices(notices: readonly RolloutOrderNotice[], delayMs: number): void {
    for (const notice of notices) {
      const {durationMs, remainingMs, state} = notice;
      const limitMs = this.clock.now() + remainingMs - delayMs;
      this.learnOrder({...notice, terms: {durationMs, limitMs}}, 'peer');
      if (state) this.learnState(state, undefined);
    }
    this.informed = true;
  }

  /** Orders for other nodes; empty if there are none. */
  notices(): RolloutOrderNotice[] {
    const now = this.clock.now();
    return this.all().flatMap(rollout => {
      const {service, targetVersion, offset, terms, state} = rollout;
      if (!terms) return [];
      const {durationMs, limitMs} = terms;
      const remainingMs = limitMs - now;
      const order = {service, targetVersion, durationMs, offset, remainingMs};
      return [state?.isSettled ? {...order, state} : order];
    });
  }

  /**
   * Applies a state, with the node that sent it. Returns false if it is older
   * than what is known.
   */
  learnState(state: RolloutState, senderId: string | undefined): boolean {
    const {service, targetVersion, orderOffset: offset} = state;
    this.learnOrder({service, targetVersion, offset}, 'state');
    const rollout = this.rollouts.get(service);
    if (!rollout || rollout.offset !== offset) return false;
    const {state: before} = rollout;
    if (before && isOlder(state, before)) return false;
    const isRepeated = before !== undefined && !isOlder(before, state);
    rollout.heardMs = this.clock.now();
    rollout.coordinatorId = senderId ?? rollout.coordinatorId;
    if (senderId !== undefined) rollout.isCoordinatorLost = false;
    if (isRepeated && before.isSettled === state.isSettled) return true;
    rollout.state = state;
    if (before?.phase !== state.phase) {
      const {term, phase, share} = state;
      this.logger.info(
        {service, targetVersion, offset, term, phase, share, senderId},
        'roll-out: state',
      );
    }
    this.notify(rollout);
    return true;
  }

  private learnOrder(order: Order, source: string): boolean {
    const {service, targetVersion, offset, terms} = order;
    const before = this.rollouts.get(service);
    if (before && before.offset > offset) return false;
    if (before?.offset === offset) {
      // All nodes keep the earliest limit, so that they agree on it.
      const limitMs = before.terms?.limitMs ?? Infinity;
      if (terms && terms.limitMs < limitMs) before.terms = terms;
      return false;
    }
    const now = this.clock.now();
    const rollout: Rollout = {
      service,
      targetVersion,
      offset,
      terms,
      learnedMs: now,
      heardMs: -Infinity,
      isFromStart: before ? before.isFromStart : !this.informed,
      barred: before ? barredAfter(partsOf(before), targetVersion) : [],
      coordinatorId: undefined,
      isCoordinatorLost: false,
    };
    this.rollouts.set(service, rollout);
    const durationMs = terms?.durationMs;
    this.logger.info(
      {service, targetVersion, offset, durationMs, source},
      'roll-out: order',
    );
    this.notify(rollout);
    return true;
  }

  private reportMalformed({key, offset}: KeyedRecord, findings: string): void {
    const id = `${key}@${offset}`;
    if (this.reported.has(id)) return;
    this.reported.add(id);
    this.logger.error({key, offset, findings}, 'roll-out: order refused');
  }

  private notify(rollout: Rollout): void {
    for (const listener of this.listeners) listener(rollout);
  }
}

/** Versions that take no calls once an order is replaced by a later one. */
export function barredAfter(
  before: {
    targetVersion: string;
    phase: RolloutState['phase'] | undefined;
    barred: readonly string[];
  },
  nextVersion: string,
): string[] {
  const versions = new Set(before.barred);
  if (before.phase !== 'completed') versions.add(before.targetVersion);
  versions.delete(nextVersion);
  return [...versions];
}

function partsOf({targetVersion, state, barred}: Rollout) {
  const {phase} = state ?? {};
  return {targetVersion, phase, barred: state?.barred ?? barred};
}

function isOlder(a: RolloutState, b: RolloutState): boolean {
  return a.term < b.term || (a.term === b.term && a.sequence < b.sequence);
}
