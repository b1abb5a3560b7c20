import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';

import {
  encodeFrame,
  FrameReader,
  type Hello,
  type Message,
} from '@turmericmill/wire';
import {ManualClock} from '@turmericmill/utils';
import {expect} from 'chai';

import {
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_TIMES,
  PeerConnection,
} from '../../src/transport/peer-connection.js';

/** Records the written messages; sends nothing. */
class FakeSocket extends EventEmitter {
  readonly written: Message[] = [];
  destroyed = false;
  ended = false;
  writableLength = 0;
  private readonly reader = new FrameReader();

  write(frame: Buffer): void {
    this.written.push(...this.reader.push(frame).unwrap());
  }

  end(): void {
    this.ended = true;
  }

  destroy(): void {
    this.destroyed = true;
  }

  setNoDelay(): void {
    // Nothing is sent.
  }

  cork(): void {
    // Nothing is sent.
  }

  uncork(): void {
    // Nothing is sent.
  }
}

const OWN: Hello = {
  minVersion: 1,
  maxVersion: 1,
  nodeId: 'own',
  incarnation: 5,
  dataCentre: 'a-1',
  region: 'a',
};
const OTHER: Hello = {...OWN, nodeId: 'other'};
const CALL: Message = {
  type: 'callStart',
  body: {
    callId: 1,
    serverId: 's1',
    serverIncarnation: 1,
    group: 'city/desk',
    method: 'GET',
    path: '/',
    headers: [],
    customer: 'c1',
    class: 'city/class/desk',
    priority: 'interactive',
    remainingMs: 500,
    sentMs: 0,
    hops: 0,
    fingerprint: '',
    end: true,
    body: Buffer.from(''),
  },
};
const PING: Message = {type: 'ping', body: {nonce: 3}};

function open(expectedNodeId?: string) {
  const socket = new FakeSocket();
  const log: string[] = [];
  const clock = new ManualClock();
  const connection = new PeerConnection(
    socket as unknown as Socket,
    OWN,
    {
      opened: () => log.push('opened'),
      message: (unused, message) => log.push(message.type),
      closed: (unused, reason) => log.push(reason),
    },
    {controlBytesOut: 0, callBytesOut: 0, messagesOut: 0},
    clock,
  );
  connection.expectedNodeId = expectedNodeId;
  const receive = (bytes: Buffer) => socket.emit('data', bytes);
  return {socket, connection, log, receive, clock};
}

describe('PeerConnection', () => {
  it('sends hello first and queues messages until the handshake is complete', () => {
    const {socket, connection, receive} = open();
    connection.send(PING);
    expect(socket.written.map(message => message.type)).to.deep.equal([
      'hello',
    ]);
    receive(encodeFrame({type: 'hello', body: OTHER}));
    expect(socket.written.at(-1)).to.deep.equal(PING);
  });

  it('never sends a call that was cancelled before the handshake', () => {
    const {socket, connection, receive} = open();
    connection.send(CALL);
    connection.send({type: 'callCancel', body: {callId: 1}});
    receive(encodeFrame({type: 'hello', body: OTHER}));
    expect(socket.written.map(({type}) => type)).to.deep.equal(['hello']);
  });

  it('subtracts the wait for the handshake from the remaining time', () => {
    const {socket, connection, receive, clock} = open();
    connection.send(CALL);
    clock.advance(120);
    receive(encodeFrame({type: 'hello', body: OTHER}));
    const sent = socket.written.at(-1);
    expect(sent?.type === 'callStart' && sent.body.remainingMs).to.equal(380);
  });

  const refused: {
    name: string;
    bytes: Buffer;
    reason: string;
    expect?: string;
  }[] = [
    {
      name: 'a later protocol version',
      bytes: encodeFrame({
        type: 'hello',
        body: {...OTHER, minVersion: 9, maxVersion: 9},
      }),
      reason: 'version',
    },
    {
      name: 'a message before hello',
      bytes: encodeFrame(PING),
      reason: 'malformed',
    },
    {
      name: 'a frame that is not a message',
      bytes: Buffer.from([0, 0, 0, 1, 0xff]),
      reason: 'malformed',
    },
    {
      name: 'a frame over the limit',
      bytes: Buffer.from([0xff, 0xff, 0xff, 0xff]),
      reason: 'malformed',
    },
    {
      name: 'another node at the address',
      bytes: encodeFrame({type: 'hello', body: OTHER}),
      reason: 'unexpected',
      expect: 'meant',
    },
  ];
  for (const {name, bytes, reason, expect: expected} of refused) {
    it(`says goodbye to ${name} and sends no queued message`, () => {
      const {socket, connection, log, receive} = open(expected);
      connection.send(PING);
      receive(bytes);
      const types = socket.written.map(message => message.type);
      expect(types).to.deep.equal(['hello', 'goodbye']);
      expect(socket.written.at(-1)?.body).to.include({reason});
      expect(socket.ended).to.equal(true);
      expect(log).to.have.length(1);
    });
  }

  /** Runs heartbeats until the connection is closed; returns the time in ms. */
  function runUntilClosed(
    {socket, connection}: ReturnType<typeof open>,
    limitMs: number,
  ): number {
    let nowMs = 0;
    while (!socket.destroyed && nowMs <= limitMs) {
      nowMs += HEARTBEAT_INTERVAL_MS;
      connection.checkHeartbeat(nowMs);
    }
    return nowMs;
  }

  const {busyQuietMs, idleQuietMs, pongMs} = HEARTBEAT_TIMES;
  const silentCases: {name: string; messages: Message[]; quietMs: number}[] = [
    {name: 'an idle connection', messages: [], quietMs: idleQuietMs},
    {name: 'a connection with a call', messages: [CALL], quietMs: busyQuietMs},
    {
      name: 'a connection whose call was cancelled',
      messages: [CALL, {type: 'callCancel', body: {callId: 1}}],
      quietMs: idleQuietMs,
    },
  ];
  for (const {name, messages, quietMs} of silentCases) {
    it(`on silence closes ${name}`, () => {
      const opened = open();
      opened.receive(encodeFrame({type: 'hello', body: OTHER}));
      for (const message of messages) opened.connection.send(message);
      const dueMs = quietMs + 2 * pongMs;
      const closedAtMs = runUntilClosed(opened, dueMs * 2);
      const toleranceMs = 3 * HEARTBEAT_INTERVAL_MS;
      expect(closedAtMs).to.be.within(dueMs, dueMs + toleranceMs);
      expect(opened.log).to.deep.equal(['opened', 'silent']);
      const pings = opened.socket.written.filter(m => m.type === 'ping');
      expect(pings).to.have.length(2);
    });
  }

  it('allows a peer with a late handshake the time to answer a call', () => {
    const {socket, connection, receive, clock, log} = open();
    connection.send(CALL);
    for (let ticks = 0; ticks < 5; ticks++) {
      connection.checkHeartbeat(clock.advance(HEARTBEAT_INTERVAL_MS));
    }
    receive(encodeFrame({type: 'hello', body: OTHER}));
    for (let ticks = 0; ticks < 4; ticks++) {
      connection.checkHeartbeat(clock.advance(HEARTBEAT_INTERVAL_MS));
    }
    expect(socket.destroyed).to.equal(false);
    expect(log).to.deep.equal(['opened']);
  });

  it('keeps a connection while a long frame arrives in pieces', () => {
    const {socket, connection, receive, clock, log} = open();
    receive(encodeFrame({type: 'hello', body: OTHER}));
    connection.send(CALL);
    const chunk = Buffer.alloc(64 * 1024);
    const body = {callId: 1, chunk, end: true, trailers: []};
    const frame = encodeFrame({type: 'answerData', body});
    const pieceBytes = Math.ceil(frame.length / 20);
    for (let offset = 0; offset < frame.length; offset += pieceBytes) {
      connection.checkHeartbeat(clock.advance(HEARTBEAT_INTERVAL_MS));
      receive(frame.subarray(offset, offset + pieceBytes));
    }
    expect(socket.destroyed).to.equal(false);
    expect(log).to.deep.equal(['opened', 'answerData']);
  });

  it('stays open after a stall of its own process', () => {
    const {socket, connection, receive, clock} = open();
    receive(encodeFrame({type: 'hello', body: OTHER}));
    connection.send(CALL);
    while (clock.now() < 700) {
      connection.checkHeartbeat(clock.advance(HEARTBEAT_INTERVAL_MS));
    }
    connection.checkHeartbeat(clock.advance(1_000));
    expect(socket.destroyed).to.equal(false);
  });

  it('waits longer for a peer that has answered slowly before', () => {
    const {socket, connection, receive, clock} = open();
    receive(encodeFrame({type: 'hello', body: OTHER}));
    connection.send(CALL);
    for (const pongMs of [400, 800]) {
      let answerAtMs = Infinity;
      const sent = socket.written.length;
      while (clock.now() < answerAtMs) {
        connection.checkHeartbeat(clock.advance(HEARTBEAT_INTERVAL_MS));
        const isPinged = socket.written.length > sent;
        if (isPinged && answerAtMs === Infinity) {
          answerAtMs = clock.now() + pongMs;
        }
      }
      const ping = socket.written[sent];
      const nonce = ping?.type === 'ping' ? ping.body.nonce : -1;
      receive(encodeFrame({type: 'pong', body: {nonce}}));
    }
    expect(socket.destroyed).to.equal(false);
  });

  it('keeps a connection that answers its pings', () => {
    const {socket, connection, receive} = open();
    receive(encodeFrame({type: 'hello', body: OTHER}));
    connection.send(CALL);
    for (let nowMs = 0; nowMs < 60_000; nowMs += HEARTBEAT_INTERVAL_MS) {
      connection.checkHeartbeat(nowMs);
      if (socket.written.at(-1)?.type === 'ping') connection.onBytes(nowMs);
    }
    expect(socket.destroyed).to.equal(false);
  });
});
