import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {SystemClock} from '@turmericmill/utils';
import {
  encodeFrame,
  FrameReader,
  type Hello,
  type MemberRecord,
  type Message,
} from '@turmericmill/wire';
import bunyan from 'bunyan';
import {expect} from 'chai';

import {Bus} from '../../src/bus.js';
import {TransportTask} from '../../src/transport/transport-task.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});
const HAVE = {
  type: 'configHave',
  body: {version: 4, digest: 'd', settled: true, known: 4, ask: false},
} as const;

/** Answers that are more than what the sockets of both ends hold. */
const CHUNKS = 64;
const CHUNK_BYTES = 512 * 1024;
/** Time in ms in which nothing more happens. */
const QUIET_MS = 100;
/** Time in ms in which a peer can read all that was sent to it. */
const LONG_MS = 5_000;

function helloOf(nodeId: string): Hello {
  const place = {dataCentre: 'a-1', region: 'a'};
  return {minVersion: 1, maxVersion: 1, ...place, nodeId, incarnation: 1};
}

function callOf(callId: number): Message {
  const request = {
    serverId: 's1',
    serverIncarnation: 1,
    group: 'g',
    method: 'GET',
    path: '/',
    customer: 'c1',
    class: 'g/class/all',
    priority: 'interactive',
    hops: 0,
    fingerprint: '',
  } as const;
  const rest = {headers: [], remainingMs: 1_000, sentMs: 0, end: true};
  const body = {...request, ...rest, callId, body: Buffer.alloc(0)};
  return {type: 'callStart', body};
}

class Endpoint {
  readonly bus = new Bus();
  readonly transport: TransportTask;

  constructor(readonly nodeId: string) {
    const hello = helloOf(nodeId);
    const options = {address: '127.0.0.1', port: 0, hello};
    const clock = new SystemClock();
    this.transport = new TransportTask(options, this.bus, clock, SILENT);
  }

  /** The record under which others find this node, or an earlier one. */
  recordAs(id: string): MemberRecord {
    return {
      id,
      incarnation: 1,
      status: 'alive',
      address: '127.0.0.1',
      port: this.transport.port,
      dataCentre: 'a-1',
      region: 'a',
      servers: [],
      revision: 0,
    };
  }

  heard(): Promise<string> {
    return new Promise(resolve => {
      this.bus.onPeerMessage('configHave', ({peer}) => resolve(peer.nodeId));
    });
  }

  lost(): Promise<{nodeId: string; opened: boolean}> {
    return new Promise(resolve => this.bus.subscribe('peer-lost', resolve));
  }
}

describe('transport task', () => {
  let one: Endpoint;
  let two: Endpoint;

  beforeEach(async () => {
    one = new Endpoint('one');
    two = new Endpoint('two');
    await one.transport.start();
    await two.transport.start();
  });

  afterEach(async () => {
    await one.transport.stop();
    await two.transport.stop();
  });

  it('delivers to a member', async () => {
    const heard = two.heard();
    one.bus.publish('view-changed', {members: [two.recordAs('two')]});
    one.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
    expect(await heard).to.equal('one');
  });

  const strangers: {name: string; connected: boolean}[] = [
    {name: 'before a connection is open', connected: false},
    {name: 'over a connection that is open already', connected: true},
  ];
  for (const {name, connected} of strangers) {
    it(`sends nothing to a host that took over an address, ${name}`, async () => {
      let delivered = 0;
      two.bus.onPeerMessage('configFetch', () => (delivered += 1));
      if (connected) {
        const heard = two.heard();
        const {port} = two.transport;
        const address = '127.0.0.1';
        one.bus.publish('send-address', {address, port, message: HAVE});
        await heard;
      }
      const lost = one.lost();
      one.bus.publish('view-changed', {members: [two.recordAs('former')]});
      const message = {type: 'configFetch', body: {have: 1}} as const;
      one.bus.publish('send-peer', {nodeId: 'former', message});
      expect(await lost).to.deep.equal({nodeId: 'former', opened: false});
      expect(delivered).to.equal(0);
    });
  }

  it('tells that nothing was sent when the host is gone', async () => {
    const member = two.recordAs('two');
    await two.transport.stop();
    two = new Endpoint('two');
    await two.transport.start();
    const lost = one.lost();
    const address = '127.0.0.1';
    const {port} = member;
    one.bus.publish('view-changed', {members: [member]});
    one.bus.publish('send-address', {address, port, message: HAVE});
    one.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
    expect(await lost).to.deep.equal({nodeId: 'two', opened: false});
  });

  it('drops what is meant for another incarnation', async () => {
    const heard = two.heard();
    one.bus.publish('view-changed', {members: [two.recordAs('two')]});
    one.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
    await heard;
    let late = 0;
    two.bus.onPeerMessage('configFetch', () => (late += 1));
    const old = {type: 'configFetch', body: {have: 1}} as const;
    one.bus.publish('send-peer', {nodeId: 'two', incarnation: 9, message: old});
    const again = two.heard();
    one.bus.publish('send-peer', {
      nodeId: 'two',
      incarnation: 1,
      message: HAVE,
    });
    await again;
    expect(late).to.equal(0);
  });

  describe('when it stops', () => {
    let leaving: Endpoint;
    let server: Server;
    let slow: Socket;

    /** A peer that reads nothing more after the handshake. */
    beforeEach(async () => {
      leaving = new Endpoint('leaving');
      await leaving.transport.start();
      server = createServer();
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const {port} = server.address() as AddressInfo;
      const accepted = once(server, 'connection') as Promise<[Socket]>;
      const members = [{...one.recordAs('slow'), port}];
      leaving.bus.publish('view-changed', {members});
      leaving.bus.publish('send-peer', {nodeId: 'slow', message: HAVE});
      [slow] = await accepted;
      const body = helloOf('slow');
      slow.write(encodeFrame({type: 'hello', body}));
      await once(slow, 'data');
      slow.pause();
      // Answers go only where their calls came from.
      for (let callId = 0; callId < CHUNKS; callId++) {
        slow.write(encodeFrame(callOf(callId)));
      }
      await sleep(QUIET_MS);
      for (let callId = 0; callId < CHUNKS; callId++) {
        const chunk = Buffer.alloc(CHUNK_BYTES);
        const answer = {callId, chunk, end: true, trailers: []};
        const message = {type: 'answerData', body: answer} as const;
        leaving.bus.publish('send-peer', {nodeId: 'slow', message});
      }
    });

    afterEach(() => {
      slow.destroy();
      server.close();
    });

    it('has sent the answers that were queued', async () => {
      const stopped = leaving.transport.stop(Date.now() + LONG_MS);
      const first = await Promise.race([stopped, sleep(QUIET_MS, 'waits')]);
      expect(first).to.equal('waits');
      const reader = new FrameReader();
      const types: string[] = [];
      slow.on('data', (bytes: Buffer) => {
        const messages = reader.push(bytes);
        if (messages.isErr()) throw new Error(messages.error.message);
        types.push(...messages.value.map(({type}) => type));
      });
      slow.resume();
      await stopped;
      const answers = types.filter(type => type === 'answerData');
      expect(answers).to.have.length(CHUNKS);
      expect(types.at(-1)).to.equal('goodbye');
    });

    it('waits for no peer beyond its deadline', async () => {
      const startedMs = Date.now();
      await leaving.transport.stop(startedMs + QUIET_MS);
      expect(Date.now() - startedMs).to.be.lessThan(LONG_MS);
    });

    it('opens no connection any more', async () => {
      const stopped = leaving.transport.stop(Date.now() + QUIET_MS);
      const lost = leaving.lost();
      leaving.bus.publish('view-changed', {members: [two.recordAs('two')]});
      leaving.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
      expect(await lost).to.deep.equal({nodeId: 'two', opened: false});
      await stopped;
    });
  });
});
