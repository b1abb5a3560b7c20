/** Runs calls on the backend server of this node. */

import type {CurrentServer} from '@turmericmill/membership';
import {
  CallRunner,
  ENDED_LEG,
  NO_LOAD,
  type Bus,
  type CallEvents,
  type CallFailure,
  type CallHead,
  type CallLeg,
  type InitialBody,
  type QuarantineTask,
} from '@turmericmill/node';
import type {HostAddress} from '@turmericmill/platform-adapter';
import type {ReturnForecast} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import type {AnswerBudget} from '../answer-budget.js';
import type {TenantDirectory} from '../tenants/tenant-directory.js';
import type {ServerRollout} from '../rollout/server-rollout.js';
import {ServerSession} from './server-session.js';

/** Connection limit of a server while that of its service is not known. */
const DEFAULT_CONNECTIONS = 64;

export interface ServerRunnerParts {
  bus: Bus;
  clock: Clock;
  logger: Logger;
  quarantine: QuarantineTask;
  answerBudget: AnswerBudget;
  returnForecast: ReturnForecast;
  tenants: TenantDirectory;
  /** True if a server that has just started is announced with few slots. */
  hasStartPace: boolean;
  /**
   * Returns the time in ms that servers take for a class of calls; undefined if
   * none has answered such a call yet.
   */
  expectedServiceMs(cls: string): number | undefined;
  /** Returns the address at which the server of this node listens. */
  address(): HostAddress;
  /** Undefined in deployments without roll-outs. */
  rollout?: ServerRollout | undefined;
}

/** Starts a new session for each start of the server and retires the last. */
export class ServerRunner extends CallRunner {
  private session: ServerSession | undefined;
  private stopping = false;

  constructor(private readonly parts: ServerRunnerParts) {
    super();
  }

  /** Number of calls that occupy a slot of the server. */
  get inFlight(): number {
    return this.session?.inFlight ?? 0;
  }

  /** The server that has reported last, and whether it is closed. */
  get current(): {server: CurrentServer; isClosed: boolean} | undefined {
    const {session} = this;
    return session && {server: session.server, isClosed: session.isClosed};
  }

  /** Applies what roll-outs allow now: refuses queued calls or none. */
  applyRollout(): void {
    const {session} = this;
    const {rollout} = this.parts;
    if (session && rollout) {
      session.setOpen(rollout.mayTakeCalls(session.server));
    }
  }

  /** Applies a report of the server. */
  update(server: CurrentServer): void {
    const current = this.session;
    const isSameStart =
      current?.server.serverId === server.serverId &&
      current.server.bornMs === server.bornMs;
    if (current && isSameStart) {
      current.update(server);
    } else {
      current?.retire();
      const publish = () => this.publish();
      this.session = new ServerSession(server, this.parts, publish);
    }
    this.publish();
  }

  /** Announces the server as draining; running calls continue. */
  stopAccepting(): void {
    this.stopping = true;
    this.publish();
  }

  override run(head: CallHead, body: InitialBody, events: CallEvents): CallLeg {
    const {session} = this;
    this.applyRollout();
    if (session?.server.service === head.group) {
      return session.run(head, body, events);
    }
    events.failed(noServer());
    return ENDED_LEG;
  }

  /** Closes all connections to the server. */
  close(): void {
    this.session?.retire();
  }

  private publish(): void {
    const {bus, rollout} = this.parts;
    const {address, port} = this.parts.address();
    const {session} = this;
    if (!session) return;
    const {server: current} = session;
    const {serverId, service, bornMs, warmUntilMs, version} = current;
    const state = this.stopping ? 'draining' : session.state;
    const server = {
      id: serverId,
      group: service,
      incarnation: bornMs,
      state,
      slots: session.announcedSlots,
      connections: DEFAULT_CONNECTIONS,
      readySinceMs: Math.round(warmUntilMs),
      // Other nodes need the version only for roll-outs.
      ...(rollout && version !== undefined && {version}),
      address,
      port,
    };
    bus.publish('local-servers', {servers: [server]});
  }
}

function noServer(): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'no-server',
    detail: 'No server of the service is beside this node.',
    load: {...NO_LOAD},
  };
}
