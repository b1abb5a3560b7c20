/** A fleet of membership agents on loopback. */

import {setTimeout as sleep} from 'node:timers/promises';

import type {AgentReport, SeenCondition} from './agent-protocol.js';
import {AgentProcess} from './agent-process.js';

const DATA_CENTRES = 3;
const SEED_COUNT = 3;

/** Agents started at once. */
const LAUNCH_BATCH = 10;

/** Time in ms between looks at the fleet. */
const POLL_MS = 100;

/** IP and UDP headers of a message, in bytes. */
const HEADER_BYTES = 28;

/** What the agents spent, on average, over a stretch of time. */
export interface FleetUsage {
  seconds: number;
  /** Sent by each agent in a second, headers included. */
  bytesPerSecond: number;
  messagesPerSecond: number;
  /** Share of a core used by each agent, in percent. */
  cpuPercent: number;
}

/** Sums over all agents. */
interface Totals {
  atMs: number;
  bytes: number;
  messages: number;
  cpuMs: number;
}

export class AgentFleet {
  readonly agents: AgentProcess[] = [];
  private seeds: string[] = [];
  private nextNumber = 0;

  /** Starts agents that know the first three as seeds. */
  async launch(count: number): Promise<void> {
    await this.launchBatch(Math.min(SEED_COUNT, count));
    this.seeds = this.agents.map(agent => agent.meshAddress);
    while (this.agents.length < count) {
      await this.launchBatch(Math.min(LAUNCH_BATCH, count - this.size));
    }
  }

  get size(): number {
    return this.agents.length;
  }

  /** Starts `count` more. */
  async launchBatch(count: number): Promise<AgentProcess[]> {
    const launches = Array.from({length: count}, () => this.launchOne());
    const started = await Promise.all(launches);
    this.agents.push(...started);
    return started;
  }

  /** Kills agents; they leave the fleet. */
  async kill(victims: readonly AgentProcess[]): Promise<void> {
    const gone = new Set(victims);
    const rest = this.agents.filter(agent => !gone.has(agent));
    this.agents.splice(0, this.agents.length, ...rest);
    await Promise.all(victims.map(agent => agent.kill()));
  }

  async stop(): Promise<void> {
    await this.kill([...this.agents]);
  }

  reports(): Promise<AgentReport[]> {
    return Promise.all(this.agents.map(agent => agent.report()));
  }

  /** Waits until all see as many members as there are; the time in ms. */
  async untilAgreed(limitMs: number): Promise<number | null> {
    const startMs = Date.now();
    while (Date.now() - startMs < limitMs) {
      const reports = await this.reports();
      if (reports.every(report => report.members === this.size)) {
        return Date.now() - startMs;
      }
      await sleep(POLL_MS);
    }
    return null;
  }

  /** Time in ms after `sinceMs` at which the last agent saw it, or null. */
  async untilSeen(
    id: string,
    condition: SeenCondition,
    sinceMs: number,
    limitMs: number,
  ): Promise<number | null> {
    while (Date.now() - sinceMs < limitMs) {
      const observers = this.agents.filter(agent => agent.options.id !== id);
      const times = await Promise.all(
        observers.map(agent => agent.when(id, condition)),
      );
      if (!times.includes(null)) {
        return Math.max(...(times as number[])) - sinceMs;
      }
      await sleep(POLL_MS);
    }
    return null;
  }

  /** What the agents spend while `work` runs. The fleet must not change. */
  async usageDuring(work: () => Promise<unknown>): Promise<FleetUsage> {
    const before = await this.totals();
    await work();
    const after = await this.totals();
    const seconds = (after.atMs - before.atMs) / 1000;
    const share = seconds * this.size;
    const messages = after.messages - before.messages;
    const bytes = after.bytes - before.bytes + messages * HEADER_BYTES;
    return {
      seconds,
      bytesPerSecond: bytes / share,
      messagesPerSecond: messages / share,
      cpuPercent: (after.cpuMs - before.cpuMs) / share / 10,
    };
  }

  private async launchOne(): Promise<AgentProcess> {
    const number = this.nextNumber++;
    return AgentProcess.launch({
      id: `host-${String(number).padStart(5, '0')}`,
      dataCentre: `data-centre-${number % DATA_CENTRES}`,
      seeds: this.seeds,
    });
  }

  private async totals(): Promise<Totals> {
    const totals = {atMs: Date.now(), bytes: 0, messages: 0, cpuMs: 0};
    for (const report of await this.reports()) {
      totals.bytes += report.bytesOut;
      totals.messages += report.messagesOut;
      totals.cpuMs += report.cpuMs;
    }
    return totals;
  }
}
