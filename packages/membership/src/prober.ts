/**
 * When to probe whom. A node probes the two members that follow it in the ring
 * by turns, now and then a random member, and rarely one that is gone, so that
 * the two sides of a split find each other again.
 */

import type {RandomSource} from '@turmericmill/utils';

import {RoundTrips} from './round-trips.js';

/** Time in ms between probes of the members that follow in the ring. */
const RING_PERIOD_MS = 500;

/** Time in ms between probes of random members. */
const RANDOM_PERIOD_MS = 2_000;

/** Time in ms between probes of members that are gone. */
const GONE_PERIOD_MS = 5_000;

/** Time in ms beyond the expected round trip that a direct probe waits. */
const DIRECT_TIMEOUT_MS = 200;

/** Time in ms that the helpers' probes wait, after the direct one. */
const INDIRECT_TIMEOUT_MS = 200;

/** Time in ms after its start in which a failed probe may yet be answered. */
const LATE_ANSWER_MS = 4_000;

/** Members that a node watches. */
const WATCHED_COUNT = 2;

/**
 * Largest number of further members probed at once after a failure. Hosts that
 * die together may follow each other in the ring.
 */
const MAX_SPREAD = 16;

interface PendingProbe {
  seq: number;
  target: string;
  startedAtMs: number;
  directDeadlineMs: number;
  failDeadlineMs: number;
  indirect: boolean;
  /** True once it was reported; its answer is still a sign of life. */
  failed: boolean;
  expectedMs: number;
  /** Probes of members that are gone prove nothing by failing. */
  counted: boolean;
}

export type ProbeAction =
  | {type: 'probe'; seq: number; target: string}
  | {type: 'ask-helpers'; seq: number; target: string}
  | {type: 'failed'; target: string; startedAtMs: number; expectedMs: number};

/** `none`: no probe is known that was answered. */
export type ProbeAnswer = 'in-time' | 'late' | 'none';

/** Where the prober finds its targets. */
export interface ProbeTargets {
  /** Alive members that follow this node in the ring. */
  successors(count: number): string[];
  randomAlive(random: RandomSource): string | undefined;
  randomGone(random: RandomSource): string | undefined;
}

export class Prober {
  private nextSeq = 1;
  private readonly pending = new Map<number, PendingProbe>();
  private readonly targets = new Set<string>();
  private readonly roundTrips = new RoundTrips();
  private nextRingAtMs: number;
  private nextRandomAtMs: number;
  private nextGoneAtMs: number;
  private ringTurn = 0;
  private spread = WATCHED_COUNT;

  constructor(nowMs: number, random: RandomSource) {
    this.nextRingAtMs = nowMs + random.next() * RING_PERIOD_MS;
    this.nextRandomAtMs = nowMs + random.next() * RANDOM_PERIOD_MS;
    this.nextGoneAtMs = nowMs + random.next() * GONE_PERIOD_MS;
  }

  /** A sequence number for a probe on behalf of another member. */
  takeSeq(): number {
    return this.nextSeq++;
  }

  /** Ends the probe that `seq` answers. */
  acknowledged(seq: number, from: string, nowMs: number): ProbeAnswer {
    const probe = this.pending.get(seq);
    if (probe?.target !== from) return 'none';
    this.pending.delete(seq);
    this.roundTrips.note(from, nowMs - probe.startedAtMs, nowMs);
    if (probe.failed) return 'late';
    this.targets.delete(from);
    if (probe.counted) this.spread = WATCHED_COUNT;
    return 'in-time';
  }

  /** Time in ms that an answer of the target may take by what is known. */
  expectedMs(target: string, nowMs: number): number {
    return this.roundTrips.expectedMs(target, nowMs);
  }

  /** Gives up all probes, as after a pause: their answers may be lost. */
  reset(): void {
    this.pending.clear();
    this.targets.clear();
    this.roundTrips.clear();
  }

  /** Starts probes that are due and reports those that went unanswered. */
  tick(
    nowMs: number,
    random: RandomSource,
    targets: ProbeTargets,
    factor: number,
  ): ProbeAction[] {
    const actions: ProbeAction[] = [];
    for (const probe of [...this.pending.values()]) {
      this.advance(probe, nowMs, factor, targets, actions);
    }
    this.startDue(nowMs, random, targets, factor, actions);
    return actions;
  }

  private advance(
    probe: PendingProbe,
    nowMs: number,
    factor: number,
    targets: ProbeTargets,
    actions: ProbeAction[],
  ): void {
    const {seq, target, startedAtMs, expectedMs} = probe;
    if (probe.failed) {
      if (nowMs >= startedAtMs + LATE_ANSWER_MS) this.pending.delete(seq);
      return;
    }
    if (nowMs >= probe.failDeadlineMs) {
      probe.failed = true;
      this.targets.delete(target);
      if (!probe.counted) return;
      actions.push({type: 'failed', target, startedAtMs, expectedMs});
      return;
    }
    if (probe.indirect || nowMs < probe.directDeadlineMs) return;
    probe.indirect = true;
    if (!probe.counted) return;
    actions.push({type: 'ask-helpers', seq, target});
    this.spread = Math.min(MAX_SPREAD, this.spread * 2);
    for (const next of targets.successors(this.spread)) {
      this.start(next, true, nowMs, factor, actions);
    }
  }

  private startDue(
    nowMs: number,
    random: RandomSource,
    targets: ProbeTargets,
    factor: number,
    actions: ProbeAction[],
  ): void {
    if (nowMs >= this.nextRingAtMs) {
      this.nextRingAtMs = nextTime(this.nextRingAtMs, RING_PERIOD_MS, nowMs);
      const watched = targets.successors(WATCHED_COUNT);
      const target = watched[this.ringTurn++ % WATCHED_COUNT] ?? watched[0];
      this.start(target, true, nowMs, factor, actions);
    }
    if (nowMs >= this.nextRandomAtMs) {
      this.nextRandomAtMs = nextTime(
        this.nextRandomAtMs,
        RANDOM_PERIOD_MS,
        nowMs,
      );
      const target = targets.randomAlive(random);
      this.start(target, true, nowMs, factor, actions);
    }
    if (nowMs >= this.nextGoneAtMs) {
      this.nextGoneAtMs = nextTime(this.nextGoneAtMs, GONE_PERIOD_MS, nowMs);
      this.start(targets.randomGone(random), false, nowMs, factor, actions);
    }
  }

  private start(
    target: string | undefined,
    counted: boolean,
    nowMs: number,
    factor: number,
    actions: ProbeAction[],
  ): void {
    if (target === undefined || this.targets.has(target)) return;
    const seq = this.takeSeq();
    const expectedMs = this.expectedMs(target, nowMs);
    const directDeadlineMs = nowMs + expectedMs + DIRECT_TIMEOUT_MS * factor;
    this.targets.add(target);
    this.pending.set(seq, {
      seq,
      target,
      startedAtMs: nowMs,
      directDeadlineMs,
      failDeadlineMs: directDeadlineMs + INDIRECT_TIMEOUT_MS * factor,
      indirect: false,
      failed: false,
      expectedMs,
      counted,
    });
    actions.push({type: 'probe', seq, target});
  }
}

/** The next time of a period; periods that were slept through are skipped. */
function nextTime(dueMs: number, periodMs: number, nowMs: number): number {
  const next = dueMs + periodMs;
  return next > nowMs ? next : nowMs + periodMs;
}
