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

/** Answers that together exceed the socket buffers of both ends. */
const CHUNKS = 64;
const CHUNK_BYTES = 512 * 1024;
/** Time in ms after which no further change is expected. */
const QUIET_MS = 100;
/** Time in ms that suffices for a peer to read all data sent to it. */
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

  /** The member record with the address of this node and the given id. */
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

  /** Resolves with the sender of the next `configHave`. */
  waitForMessage(): Promise<string> {
    return new Promise(resolve => {
      this.bus.onPeerMessage('configHave', ({peer}) => resolve(peer.nodeId));
    });
  }

  /** Resolves when a peer is reported as lost. */
  waitForLost(): Promise<{nodeId: string; opened: boolean}> {
    return new Promise(resolve => this.bus.subscribe('peer-lost', resolve));
  }
}

describe('TransportTask', () => {
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

  it('delivers a message to a member', async () => {
    const received = two.waitForMessage();
    one.bus.publish('view-changed', {members: [two.recordAs('two')]});
    one.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
    expect(await received).to.equal('one');
  });

  const otherHostCases: {name: string; connected: boolean}[] = [
    {name: 'before a connection is open', connected: false},
    {name: 'over a connection that is open already', connected: true},
  ];
  for (const {name, connected} of otherHostCases) {
    it(`sends nothing to a host that took over an address, ${name}`, async () => {
      let delivered = 0;
      two.bus.onPeerMessage('configFetch', () => (delivered += 1));
      if (connected) {
        const received = two.waitForMessage();
        const {port} = two.transport;
        const address = '127.0.0.1';
        one.bus.publish('send-address', {address, port, message: HAVE});
        await received;
      }
      const lost = one.waitForLost();
      one.bus.publish('view-changed', {members: [two.recordAs('former')]});
      const message = {type: 'configFetch', body: {have: 1}} as const;
      one.bus.publish('send-peer', {nodeId: 'former', message});
      expect(await lost).to.deep.equal({nodeId: 'former', opened: false});
      expect(delivered).to.equal(0);
    });
  }

  it('reports that nothing was sent when the host is gone', async () => {
    const member = two.recordAs('two');
    await two.transport.stop();
    two = new Endpoint('two');
    await two.transport.start();
    const lost = one.waitForLost();
    const address = '127.0.0.1';
    const {port} = member;
    one.bus.publish('view-changed', {members: [member]});
    one.bus.publish('send-address', {address, port, message: HAVE});
    one.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
    expect(await lost).to.deep.equal({nodeId: 'two', opened: false});
  });

  it('closes the connection of a message that cannot be handled', async () => {
    two.bus.onPeerMessage('configFetch', () => {
      throw new Error('a fault of a handler');
    });
    const received = two.waitForMessage();
    one.bus.publish('view-changed', {members: [two.recordAs('two')]});
    one.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
    await received;
    const lost = one.waitForLost();
    const message = {type: 'configFetch', body: {have: 1}} as const;
    one.bus.publish('send-peer', {nodeId: 'two', message});
    expect(await lost).to.include({nodeId: 'two', opened: true});
    const receivedAgain = two.waitForMessage();
    one.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
    expect(await receivedAgain).to.equal('one');
  });

  const malformed: {name: string; message: unknown}[] = [
    {name: 'without fields', message: {type: 'callStart', body: {}}},
    {name: 'with an odd body', message: {type: 'claimReply', body: [1]}},
    {name: 'with an odd sender', message: {type: 'memberSync', body: {}}},
  ];
  for (const {name, message} of malformed) {
    it(`closes only the connection of a malformed message, ${name}`, async () => {
      const received = two.waitForMessage();
      one.bus.publish('view-changed', {members: [two.recordAs('two')]});
      one.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
      await received;
      const lost = one.waitForLost();
      one.bus.publish('send-peer', {nodeId: 'two', message: message as never});
      expect(await lost).to.include({nodeId: 'two', opened: true});
      const receivedAgain = two.waitForMessage();
      one.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
      expect(await receivedAgain).to.equal('one');
    });
  }

  for (const port of [0, -1, 70_000, 1e300, NaN]) {
    it(`sends no datagram to port ${port}`, () => {
      const message = {type: 'ping', body: {nonce: 1}} as const;
      const address = '127.0.0.1';
      one.bus.publish('send-datagram', {address, port, message});
      expect(one.transport.counts.messagesOut).to.equal(0);
    });
  }

  it('goes on after a datagram that cannot be handled', async () => {
    let received = 0;
    const handled = new Promise<void>(resolve => {
      two.bus.subscribe('datagram', () => {
        received += 1;
        if (received > 1) resolve();
        else throw new Error('a fault of a handler');
      });
    });
    const {port} = two.transport;
    const message = {type: 'ping', body: {nonce: 1}} as const;
    const datagram = {address: '127.0.0.1', port, message};
    one.bus.publish('send-datagram', datagram);
    one.bus.publish('send-datagram', datagram);
    await handled;
  });

  it('drops a message for another incarnation', async () => {
    const received = two.waitForMessage();
    one.bus.publish('view-changed', {members: [two.recordAs('two')]});
    one.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
    await received;
    let late = 0;
    two.bus.onPeerMessage('configFetch', () => (late += 1));
    const old = {type: 'configFetch', body: {have: 1}} as const;
    one.bus.publish('send-peer', {nodeId: 'two', incarnation: 9, message: old});
    const receivedAgain = two.waitForMessage();
    one.bus.publish('send-peer', {
      nodeId: 'two',
      incarnation: 1,
      message: HAVE,
    });
    await receivedAgain;
    expect(late).to.equal(0);
  });

  describe('when stopping', () => {
    let stopping: Endpoint;
    let server: Server;
    let slow: Socket;

    /** Connects a peer that stops reading after the handshake. */
    beforeEach(async () => {
      stopping = new Endpoint('leaving');
      await stopping.transport.start();
      server = createServer();
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const {port} = server.address() as AddressInfo;
      const accepted = once(server, 'connection') as Promise<[Socket]>;
      const members = [{...one.recordAs('slow'), port}];
      stopping.bus.publish('view-changed', {members});
      stopping.bus.publish('send-peer', {nodeId: 'slow', message: HAVE});
      [slow] = await accepted;
      const body = helloOf('slow');
      slow.write(encodeFrame({type: 'hello', body}));
      await once(slow, 'data');
      slow.pause();
      // An answer is sent only on the connection on which its call arrived.
      for (let callId = 0; callId < CHUNKS; callId++) {
        slow.write(encodeFrame(callOf(callId)));
      }
      await sleep(QUIET_MS);
      for (let callId = 0; callId < CHUNKS; callId++) {
        const chunk = Buffer.alloc(CHUNK_BYTES);
        const answer = {callId, chunk, end: true, trailers: []};
        const message = {type: 'answerData', body: answer} as const;
        stopping.bus.publish('send-peer', {nodeId: 'slow', message});
      }
    });

    afterEach(() => {
      slow.destroy();
      server.close();
    });

    it('sends the queued answers', async () => {
      const stopped = stopping.transport.stop(Date.now() + LONG_MS);
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

    it('does not wait for a peer beyond its deadline', async () => {
      const startedMs = Date.now();
      await stopping.transport.stop(startedMs + QUIET_MS);
      expect(Date.now() - startedMs).to.be.lessThan(LONG_MS);
    });

    it('opens no further connections', async () => {
      const stopped = stopping.transport.stop(Date.now() + QUIET_MS);
      const lost = stopping.waitForLost();
      stopping.bus.publish('view-changed', {members: [two.recordAs('two')]});
      stopping.bus.publish('send-peer', {nodeId: 'two', message: HAVE});
      expect(await lost).to.deep.equal({nodeId: 'two', opened: false});
      await stopped;
    });
  });
});
