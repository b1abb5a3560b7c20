/** Runs a fleet of membership agents that communicate over loopback. */

import {setTimeout as sleep} from 'node:timers/promises';

import type {AgentReport, SeenCondition} from './agent-protocol.js';
import {AgentProcess} from './agent-process.js';

const DATA_CENTRES = 3;
const SEED_COUNT = 3;

/** Number of agents started in parallel. */
const LAUNCH_BATCH_SIZE = 10;

/** Interval in ms between polls of all agents. */
const POLL_INTERVAL_MS = 100;

/** Size in bytes of the IP and UDP headers of one message. */
const HEADER_BYTES = 28;

/** Mean resource usage of one agent over an interval. */
export interface FleetUsage {
  seconds: number;
  /** Bytes sent, including headers. */
  bytesPerSecond: number;
  messagesPerSecond: number;
  /** Share of one core in percent. */
  cpuPercent: number;
}

/** Sums over all agents at one time. */
interface Totals {
  atMs: number;
  bytes: number;
  messages: number;
  cpuMs: number;
}

export class AgentFleet {
  readonly agents: AgentProcess[] = [];
  private seeds: string[] = [];
  private nextAgentNumber = 0;

  /** Starts `count` agents; the first `SEED_COUNT` are seeds of the others. */
  async launch(count: number): Promise<void> {
    await this.launchBatch(Math.min(SEED_COUNT, count));
    this.seeds = this.agents.map(agent => agent.meshAddress);
    while (this.agents.length < count) {
      await this.launchBatch(Math.min(LAUNCH_BATCH_SIZE, count - this.size));
    }
  }

  get size(): number {
    return this.agents.length;
  }

  /** Starts `count` more agents in parallel. */
  async launchBatch(count: number): Promise<AgentProcess[]> {
    const launches = Array.from({length: count}, () => this.launchAgent());
    const started = await Promise.all(launches);
    this.agents.push(...started);
    return started;
  }

  /** Kills agents and removes them from the fleet. */
  async kill(victims: readonly AgentProcess[]): Promise<void> {
    const killed = new Set(victims);
    const survivors = this.agents.filter(agent => !killed.has(agent));
    this.agents.splice(0, this.agents.length, ...survivors);
    await Promise.all(victims.map(agent => agent.kill()));
  }

  async stop(): Promise<void> {
    await this.kill([...this.agents]);
  }

  reports(): Promise<AgentReport[]> {
    return Promise.all(this.agents.map(agent => agent.report()));
  }

  /**
   * Waits until each agent counts as many members as the fleet has agents.
   * Returns the time in ms that this took, or null after `limitMs`.
   */
  async untilAgreed(limitMs: number): Promise<number | null> {
    const startMs = Date.now();
    while (Date.now() - startMs < limitMs) {
      const reports = await this.reports();
      if (reports.every(report => report.members === this.size)) {
        return Date.now() - startMs;
      }
      await sleep(POLL_INTERVAL_MS);
    }
    return null;
  }

  /**
   * Waits until all other agents have observed the agent `id` in `condition`.
   * Returns the time in ms from `sinceMs` to the last of these observations, or
   * null if some are missing `limitMs` after `sinceMs`.
   */
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
      await sleep(POLL_INTERVAL_MS);
    }
    return null;
  }

  /**
   * Measures the usage of the agents while `work` runs. The fleet must not
   * change meanwhile.
   */
  async usageDuring(work: () => Promise<unknown>): Promise<FleetUsage> {
    const before = await this.totals();
    await work();
    const after = await this.totals();
    const seconds = (after.atMs - before.atMs) / 1000;
    const agentSeconds = seconds * this.size;
    const messages = after.messages - before.messages;
    const bytes = after.bytes - before.bytes + messages * HEADER_BYTES;
    return {
      seconds,
      bytesPerSecond: bytes / agentSeconds,
      messagesPerSecond: messages / agentSeconds,
      cpuPercent: (after.cpuMs - before.cpuMs) / agentSeconds / 10,
    };
  }

  private async launchAgent(): Promise<AgentProcess> {
    const number = this.nextAgentNumber++;
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
