/** Two nodes on the loopback address, where one calls the other via a relay. */

import {SystemClock} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';
import bunyan from 'bunyan';

import {Bus} from '../../src/bus.js';
import {
  NO_LOAD,
  type CallEvents,
  type CallHead,
  type CallLeg,
  type CallRunner,
} from '../../src/calls/call-leg.js';
import {IncomingCalls} from '../../src/calls/incoming-calls.js';
import {RemoteRunner} from '../../src/calls/remote-runner.js';
import {TransportTask} from '../../src/transport/transport-task.js';
import {Relay} from './relay.js';

const ADDRESS = '127.0.0.1';
const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});

const HEAD: CallHead = {
  serverId: 's1',
  serverIncarnation: 1,
  group: 'g',
  method: 'GET',
  path: '/',
  headers: [],
  customer: 'c1',
  class: 'g/class/all',
  priority: 'interactive',
  deadlineMs: 0,
  hops: 0,
  fingerprint: '',
};

/** Outcome, duration and answer body of a call. */
export interface CallResult {
  end: string;
  durationMs: number;
  body: Buffer;
}

/** Leaves each call unanswered until the test answers it. */
class PendingCalls implements CallRunner {
  readonly events: CallEvents[] = [];
  readonly cancelled = new Set<CallEvents>();
  private onNext: ((events: CallEvents) => void) | undefined;

  run(head: CallHead, body: unknown, events: CallEvents): CallLeg {
    this.events.push(events);
    this.onNext?.(events);
    this.onNext = undefined;
    const noop = () => undefined;
    const cancel = () => this.cancelled.add(events);
    return {data: noop, end: noop, credit: noop, cancel};
  }

  next(): Promise<CallEvents> {
    return new Promise(resolve => (this.onNext = resolve));
  }
}

export class MeshNode {
  readonly bus = new Bus();
  readonly calls = new PendingCalls();
  readonly transport: TransportTask;
  private readonly clock = new SystemClock();
  private readonly remote = new RemoteRunner(this.bus, this.clock);

  constructor(readonly nodeId: string) {
    const place = {dataCentre: 'a-1', region: 'a'};
    const versions = {minVersion: 1, maxVersion: 1};
    const hello = {...versions, ...place, nodeId, incarnation: 1};
    const options = {address: ADDRESS, port: 0, hello};
    const {bus, clock} = this;
    this.transport = new TransportTask(options, bus, clock, SILENT);
    new IncomingCalls(bus, this.calls, clock);
  }

  /** Makes `nodeId` the only other member, at the given port. */
  setMember(nodeId: string, port: number): void {
    const member: MemberRecord = {
      id: nodeId,
      incarnation: 1,
      status: 'alive',
      address: ADDRESS,
      port,
      dataCentre: 'a-1',
      region: 'a',
      servers: [],
      revision: 0,
    };
    this.bus.publish('view-changed', {members: [member]});
  }

  /** Calls another node; resolves when the call has ended. */
  call(nodeId: string): Promise<CallResult> {
    const startedMs = this.clock.now();
    const head = {...HEAD, deadlineMs: startedMs + 20_000};
    const first = {chunk: new Uint8Array(), end: true};
    const chunks: Uint8Array[] = [];
    return new Promise(resolve => {
      const ended = (end: string) => {
        const durationMs = this.clock.now() - startedMs;
        resolve({end, durationMs, body: Buffer.concat(chunks)});
      };
      this.remote.run(nodeId, head, first, {
        credit: () => undefined,
        answerStart: () => undefined,
        answerData: chunk => chunks.push(chunk),
        answerEnd: () => ended('answered'),
        failed: ({outcome, reason}) => ended(`${outcome} ${reason}`),
      });
    });
  }
}

/** Sends an answer in frames of up to `frameBytes`. */
export function answer(
  events: CallEvents,
  body = Buffer.from('done'),
  frameBytes = 64 * 1024,
): void {
  events.answerStart(200, [], NO_LOAD);
  for (let offset = 0; offset < body.length; offset += frameBytes) {
    events.answerData(body.subarray(offset, offset + frameBytes));
  }
  events.answerEnd([]);
}

/** `caller` connects to `server` through `relay`. */
export class MeshPair {
  readonly caller = new MeshNode('caller');
  readonly server = new MeshNode('server');
  readonly relay = new Relay(() => this.server.transport.port);

  async start(): Promise<void> {
    await this.caller.transport.start();
    await this.server.transport.start();
    await this.relay.start();
    this.caller.setMember('server', this.relay.port);
  }

  async stop(): Promise<void> {
    await this.relay.stop();
    await this.caller.transport.stop();
    await this.server.transport.stop();
  }

  /** Starts a call; resolves once the server has received it. */
  async startCall(): Promise<{
    result: Promise<CallResult>;
    events: CallEvents;
  }> {
    const arrived = this.server.calls.next();
    const result = this.caller.call('server');
    return {result, events: await arrived};
  }
}
