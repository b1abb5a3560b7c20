/**
 * Schedules probes. A node alternately probes its two successors in the ring,
 * less often a random alive member, and rarely a dead one, so that the sides of
 * a healed network partition find each other again.
 */

import type {RandomSource} from '@turmericmill/utils';

import {RttEstimator} from './rtt-estimator.js';

/** Time in ms between probes of ring successors. */
const RING_PERIOD_MS = 500;

/** Time in ms between probes of random alive members. */
const RANDOM_PERIOD_MS = 2_000;

/** Time in ms between probes of dead members. */
const DEAD_PERIOD_MS = 5_000;

/** Timeout in ms of a direct probe, in addition to the expected RTT. */
const DIRECT_PROBE_TIMEOUT_MS = 200;

/** Time in ms for indirect probes after the direct one has timed out. */
const INDIRECT_PROBE_TIMEOUT_MS = 200;

/** Time in ms after its start for which a failed probe accepts a late ack. */
const LATE_ACK_WINDOW_MS = 4_000;

/** Number of ring successors that a node monitors. */
const MONITORED_COUNT = 2;

/**
 * Maximum number of successors probed at once after a direct probe timed out:
 * hosts that fail together may be adjacent in the ring.
 */
const MAX_CASCADE_COUNT = 16;

interface PendingProbe {
  seq: number;
  target: string;
  startedAtMs: number;
  directDeadlineMs: number;
  failDeadlineMs: number;
  indirectRequested: boolean;
  /** True once the probe has timed out; a late ack still shows life. */
  failed: boolean;
  expectedRttMs: number;
  /** False for probes of dead members, whose failure proves nothing. */
  isTargetAlive: boolean;
}

export type ProbeAction =
  | {type: 'probe'; seq: number; target: string}
  | {type: 'request-indirect'; seq: number; target: string}
  | {
      type: 'failed';
      target: string;
      startedAtMs: number;
      expectedRttMs: number;
    };

/** `none`: the ack matches no pending probe. */
export type AckTimeliness = 'in-time' | 'late' | 'none';

/** Selects the targets of probes. */
export interface ProbeTargets {
  /** Alive members that follow this node in the ring, in ring order. */
  successors(count: number): string[];
  randomAlive(random: RandomSource): string | undefined;
  randomDead(random: RandomSource): string | undefined;
}

export class Prober {
  private nextSeq = 1;
  private readonly pending = new Map<number, PendingProbe>();
  private readonly probedTargets = new Set<string>();
  private readonly rtts = new RttEstimator();
  private nextRingAtMs: number;
  private nextRandomAtMs: number;
  private nextDeadAtMs: number;
  private ringIndex = 0;
  /**
   * Number of successors last probed at once. Doubles with each direct timeout
   * and is reset by an ack in time.
   */
  private cascadeCount = MONITORED_COUNT;

  constructor(nowMs: number, random: RandomSource) {
    this.nextRingAtMs = nowMs + random.next() * RING_PERIOD_MS;
    this.nextRandomAtMs = nowMs + random.next() * RANDOM_PERIOD_MS;
    this.nextDeadAtMs = nowMs + random.next() * DEAD_PERIOD_MS;
  }

  /** Allocates a sequence number, also for probes forwarded for others. */
  allocateSeq(): number {
    return this.nextSeq++;
  }

  /** Completes the probe with this sequence number and records its RTT. */
  handleAck(seq: number, from: string, nowMs: number): AckTimeliness {
    const probe = this.pending.get(seq);
    if (probe?.target !== from) return 'none';
    this.pending.delete(seq);
    this.rtts.record(from, nowMs - probe.startedAtMs, nowMs);
    if (probe.failed) return 'late';
    this.probedTargets.delete(from);
    if (probe.isTargetAlive) this.cascadeCount = MONITORED_COUNT;
    return 'in-time';
  }

  /** Expected round-trip time in ms to the target. */
  expectedRttMs(target: string, nowMs: number): number {
    return this.rtts.expectedRttMs(target, nowMs);
  }

  /** Drops all probes and RTTs, for use after a pause: acks may be lost. */
  reset(): void {
    this.pending.clear();
    this.probedTargets.clear();
    this.rtts.clear();
  }

  /** Times out pending probes and starts those that are due. */
  tick(
    nowMs: number,
    random: RandomSource,
    targets: ProbeTargets,
    timeoutFactor: number,
  ): ProbeAction[] {
    const actions: ProbeAction[] = [];
    for (const probe of [...this.pending.values()]) {
      this.advance(probe, nowMs, timeoutFactor, targets, actions);
    }
    this.startScheduled(nowMs, random, targets, timeoutFactor, actions);
    return actions;
  }

  private advance(
    probe: PendingProbe,
    nowMs: number,
    timeoutFactor: number,
    targets: ProbeTargets,
    actions: ProbeAction[],
  ): void {
    const {seq, target, startedAtMs, expectedRttMs} = probe;
    if (probe.failed) {
      if (nowMs >= startedAtMs + LATE_ACK_WINDOW_MS) this.pending.delete(seq);
      return;
    }
    if (nowMs >= probe.failDeadlineMs) {
      probe.failed = true;
      this.probedTargets.delete(target);
      if (!probe.isTargetAlive) return;
      actions.push({type: 'failed', target, startedAtMs, expectedRttMs});
      return;
    }
    if (probe.indirectRequested || nowMs < probe.directDeadlineMs) return;
    probe.indirectRequested = true;
    if (!probe.isTargetAlive) return;
    actions.push({type: 'request-indirect', seq, target});
    this.cascadeCount = Math.min(MAX_CASCADE_COUNT, this.cascadeCount * 2);
    for (const successor of targets.successors(this.cascadeCount)) {
      this.start(successor, true, nowMs, timeoutFactor, actions);
    }
  }

  private startScheduled(
    nowMs: number,
    random: RandomSource,
    targets: ProbeTargets,
    timeoutFactor: number,
    actions: ProbeAction[],
  ): void {
    if (nowMs >= this.nextRingAtMs) {
      this.nextRingAtMs = nextDueMs(this.nextRingAtMs, RING_PERIOD_MS, nowMs);
      const monitored = targets.successors(MONITORED_COUNT);
      const target =
        monitored[this.ringIndex++ % MONITORED_COUNT] ?? monitored[0];
      this.start(target, true, nowMs, timeoutFactor, actions);
    }
    if (nowMs >= this.nextRandomAtMs) {
      this.nextRandomAtMs = nextDueMs(
        this.nextRandomAtMs,
        RANDOM_PERIOD_MS,
        nowMs,
      );
      const target = targets.randomAlive(random);
      this.start(target, true, nowMs, timeoutFactor, actions);
    }
    if (nowMs >= this.nextDeadAtMs) {
      this.nextDeadAtMs = nextDueMs(this.nextDeadAtMs, DEAD_PERIOD_MS, nowMs);
      this.start(
        targets.randomDead(random),
        false,
        nowMs,
        timeoutFactor,
        actions,
      );
    }
  }

  private start(
    target: string | undefined,
    isTargetAlive: boolean,
    nowMs: number,
    timeoutFactor: number,
    actions: ProbeAction[],
  ): void {
    if (target === undefined || this.probedTargets.has(target)) return;
    const seq = this.allocateSeq();
    const expectedRttMs = this.expectedRttMs(target, nowMs);
    const directDeadlineMs =
      nowMs + expectedRttMs + DIRECT_PROBE_TIMEOUT_MS * timeoutFactor;
    this.probedTargets.add(target);
    this.pending.set(seq, {
      seq,
      target,
      startedAtMs: nowMs,
      directDeadlineMs,
      failDeadlineMs:
        directDeadlineMs + INDIRECT_PROBE_TIMEOUT_MS * timeoutFactor,
      indirectRequested: false,
      failed: false,
      expectedRttMs,
      isTargetAlive,
    });
    actions.push({type: 'probe', seq, target});
  }
}

/** The next due time; periods missed during a pause are skipped. */
function nextDueMs(dueMs: number, periodMs: number, nowMs: number): number {
  const next = dueMs + periodMs;
  return next > nowMs ? next : nowMs + periodMs;
}
