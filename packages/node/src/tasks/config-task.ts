/** Carries the decisions of the configuration agent out. */

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

/** Longest time between two looks at the clock. */
const MAX_TIMER_MS = 60_000;

/**
 * After a table was built, none is built for so many times as long, so that a
 * burst of changes to a large set takes a bounded share of the processor.
 */
const TABLE_REST_FACTOR = 25;

/** Messages of other nodes that are handed to the agent. */
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

/** Names the node whose configuration this is. */
export interface ConfigTaskIdentity {
  nodeId: string;
  dataCentre: string;
  region: string;
  preference: DistributionPreference;
  /** Whether the node has seeds, so that it is not alone for long. */
  expectsPeers: boolean;
}

/** What the task uses of the node. */
export interface ConfigTaskParts {
  log: LogClient;
  bus: Bus;
  fleet: FleetVersions;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Owns the node's configuration, its timer and its calls to the log. */
export class ConfigTask extends Task {
  private readonly agent: ConfigAgent;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;
  private latest: ConfigVersion | undefined;
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
      this.act(now => this.agent.onPeerLost(peer, now));
    });
    for (const type of CONFIG_MESSAGES) {
      bus.onPeerMessage(type, ({peer, body}) => {
        const message = {type, body} as ConfigMessage;
        this.act(now => this.agent.onMessage(peer.nodeId, message, now));
      });
    }
    fleet.setSource(() => this.readFleet());
  }

  /** The version held; in force once the node is settled. */
  get version(): ConfigVersion {
    return this.agent.version;
  }

  override start(): void {
    this.act(now => this.agent.onTimer(now));
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
    this.act(now => this.agent.onMembers(peers, now));
  }

  private readFleet() {
    this.act(now => this.agent.queryFleet(now));
    return this.agent.fleetReport(this.parts.clock.now());
  }

  /** Gives the agent an input and carries out what it asks for. */
  private act(input: (nowMs: number) => ConfigEffect[]): void {
    if (this.stopped) return;
    for (const effect of input(this.parts.clock.now())) this.carryOut(effect);
    this.setTimer();
  }

  private setTimer(): void {
    clearTimeout(this.timer);
    if (this.stopped) return;
    const waitMs = this.agent.nextDeadlineMs() - this.parts.clock.now();
    const boundedMs = Math.min(Math.max(waitMs, 1), MAX_TIMER_MS);
    this.timer = setTimeout(() => {
      this.act(now => this.agent.onTimer(now));
    }, boundedMs);
  }

  private carryOut(effect: ConfigEffect): void {
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

  /** Swaps the table in at once, or when enough time has passed. */
  private enforce(version: ConfigVersion): void {
    this.latest = version;
    if (this.tableTimer) return;
    const waitMs = this.nextTableAtMs - this.parts.clock.now();
    if (waitMs <= 0) this.swapTable();
    else this.tableTimer = setTimeout(() => this.swapTable(), waitMs);
  }

  private swapTable(): void {
    this.tableTimer = undefined;
    const state = this.latest;
    if (!state || this.stopped) return;
    const {bus, logger, clock} = this.parts;
    const startMs = performance.now();
    const table = RoutingTable.build(state.resources);
    const buildMs = performance.now() - startMs;
    this.nextTableAtMs = clock.now() + buildMs * TABLE_REST_FACTOR;
    bus.publish('config-in-force', {state, table});
    logger.info({version: state.version}, 'configuration in force');
    this.act(now => this.agent.onEnforced(state.version, now));
  }

  private async callLog(callId: number, call: LogCall): Promise<void> {
    const result = await this.runCall(call);
    if (result.isErr() && result.error.code !== 'trimmed') {
      this.parts.logger.warn({err: result.error, call: call.call}, 'log call');
    }
    this.act(now => this.agent.onLogResult(callId, result, now));
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
