/** Carries out the effects of the configuration agent. */

import {
  ConfigAgent,
  type ConfigEffect,
  type ConfigMessage,
  type ConfigVersion,
  type DistributionPreference,
  type LogCall,
  type LogReply,
} from '@turmericmill/distribution';
import type {LogClient} from '@turmericmill/platform';
import {RoutingTable} from '@turmericmill/routing';
import type {Clock, RandomSource} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {Bus} from '../bus.js';
import type {FleetVersions} from '../fleet-versions.js';
import {Task} from '../task.js';

/** Maximum delay in ms of the timer that calls the agent. */
const MAX_TIMER_MS = 60_000;

/**
 * Minimum pause after a table build, as a multiple of the build time. It bounds
 * the share of CPU time that a burst of changes to a large configuration uses.
 */
const TABLE_PAUSE_FACTOR = 25;

/** Types of the messages from other nodes that the agent handles. */
const CONFIG_MESSAGES: readonly ConfigMessage['type'][] = [
  'configHave',
  'configFetch',
  'configDelta',
  'configSnapshotPart',
  'configBusy',
  'versionReport',
  'fleetQuery',
  'fleetReply',
];

/** Identity of this node, and how it obtains the configuration. */
export interface ConfigTaskIdentity {
  nodeId: string;
  dataCentre: string;
  region: string;
  preference: DistributionPreference;
  /** Whether the node has seeds and therefore soon meets other nodes. */
  expectsPeers: boolean;
}

/** Dependencies of `ConfigTask`. */
export interface ConfigTaskParts {
  log: LogClient;
  bus: Bus;
  fleet: FleetVersions;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Runs the agent: its timer, its messages and its log calls. */
export class ConfigTask extends Task {
  private readonly agent: ConfigAgent;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;
  private latestVersion: ConfigVersion | undefined;
  private tableTimer: NodeJS.Timeout | undefined;
  private nextTableAtMs = 0;

  constructor(
    identity: ConfigTaskIdentity,
    private readonly parts: ConfigTaskParts,
  ) {
    super();
    const {bus, clock, random, fleet} = parts;
    const {nodeId, dataCentre, region, preference, expectsPeers} = identity;
    this.agent = new ConfigAgent({
      self: {id: nodeId, dataCentre, region},
      preference,
      expectsPeers,
      random,
      nowMs: clock.now(),
    });
    bus.subscribe('view-changed', ({members}) => this.onMembers(members));
    bus.subscribe('peer-lost', ({nodeId: peer}) => {
      this.handleInput(now => this.agent.onPeerLost(peer, now));
    });
    for (const type of CONFIG_MESSAGES) {
      bus.onPeerMessage(type, ({peer, body}) => {
        const message = {type, body} as ConfigMessage;
        this.handleInput(now =>
          this.agent.onMessage(peer.nodeId, message, now),
        );
      });
    }
    fleet.setSource(() => this.readFleet());
  }

  /** The newest complete version; in force once the node is settled. */
  get version(): ConfigVersion {
    return this.agent.version;
  }

  override start(): void {
    this.handleInput(now => this.agent.onTimer(now));
  }

  override stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    clearTimeout(this.tableTimer);
  }

  private onMembers(members: readonly MemberRecord[]): void {
    const peers = members
      .filter(({status}) => status === 'alive' || status === 'suspect')
      .map(({id, dataCentre, region}) => ({id, dataCentre, region}));
    this.handleInput(now => this.agent.onMembers(peers, now));
  }

  private readFleet() {
    this.handleInput(now => this.agent.queryFleet(now));
    return this.agent.fleetReport(this.parts.clock.now());
  }

  /** Passes an input to the agent and carries out the resulting effects. */
  private handleInput(input: (nowMs: number) => ConfigEffect[]): void {
    if (this.stopped) return;
    for (const effect of input(this.parts.clock.now())) this.apply(effect);
    this.setTimer();
  }

  private setTimer(): void {
    clearTimeout(this.timer);
    if (this.stopped) return;
    const waitMs = this.agent.nextDeadlineMs() - this.parts.clock.now();
    const boundedMs = Math.min(Math.max(waitMs, 1), MAX_TIMER_MS);
    this.timer = setTimeout(() => {
      this.handleInput(now => this.agent.onTimer(now));
    }, boundedMs);
  }

  private apply(effect: ConfigEffect): void {
    const {bus, logger} = this.parts;
    switch (effect.type) {
      case 'send':
        bus.publish('send-peer', {nodeId: effect.to, message: effect.message});
        break;
      case 'log':
        void this.callLog(effect.callId, effect.call);
        break;
      case 'enforce':
        this.enforce(effect.version);
        break;
      case 'settled':
        bus.publish('config-settled', {version: effect.version});
        logger.info({version: effect.version}, 'configuration settled');
        break;
      case 'rejected':
        logger.info({verdict: effect.verdict}, 'publication rejected');
        break;
      case 'alarm':
        logger.error({finding: effect.message}, 'configuration alarm');
    }
  }

  /** Puts a version in force now, or after the pause since the last build. */
  private enforce(version: ConfigVersion): void {
    this.latestVersion = version;
    if (this.tableTimer) return;
    const waitMs = this.nextTableAtMs - this.parts.clock.now();
    if (waitMs <= 0) this.swapTable();
    else this.tableTimer = setTimeout(() => this.swapTable(), waitMs);
  }

  private swapTable(): void {
    this.tableTimer = undefined;
    const state = this.latestVersion;
    if (!state || this.stopped) return;
    const {bus, logger, clock} = this.parts;
    const startMs = performance.now();
    const table = RoutingTable.build(state.resources);
    const buildMs = performance.now() - startMs;
    this.nextTableAtMs = clock.now() + buildMs * TABLE_PAUSE_FACTOR;
    bus.publish('config-in-force', {state, table});
    logger.info({version: state.version}, 'configuration in force');
    this.handleInput(now => this.agent.onEnforced(state.version, now));
  }

  private async callLog(callId: number, call: LogCall): Promise<void> {
    const result = await this.runCall(call);
    if (result.isErr() && result.error.code !== 'trimmed') {
      this.parts.logger.warn(
        {err: result.error, call: call.call},
        'configuration log call failed',
      );
    }
    this.handleInput(now => this.agent.onLogResult(callId, result, now));
  }

  private runCall(call: LogCall): Promise<LogReply> {
    const {log} = this.parts;
    switch (call.call) {
      case 'bounds':
        return log.bounds(call.stream);
      case 'append':
        return log.append(call.stream, call.body);
      case 'read': {
        const {stream, from, limit, waitMs} = call;
        return log.read(stream, from, {limit, waitMs});
      }
    }
  }
}
