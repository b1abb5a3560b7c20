import {install, type Clock as FakeTimers} from '@sinonjs/fake-timers';
import {
  Bus,
  IncomingCalls,
  NO_LOAD,
  type CallRunner,
  type Peer,
} from '@turmericmill/node';
import bunyan from 'bunyan';
import {expect} from 'chai';

import {HeldMemory} from '../../src/memory/held-memory.js';
import {SimulatedUplink} from './simulated-uplink.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});

/** A host with a server of long answers; 13.3 Mbit/s. */
const SETTINGS = {memoryMb: 250, linkMbps: 13.3};
const BYTES_PER_MS = 1_662.5;
const ANSWER_BYTES = 90_000;
const PEERS = 20;
/** Interval in ms of answers that take a tenth more than the link carries. */
const ANSWER_INTERVAL_MS = ANSWER_BYTES / (1.1 * BYTES_PER_MS);
const NOTICE_INTERVAL_MS = 300;
const LOAD_MS = 10_000;
const CONFIG_IN_FORCE_MS = 2_500;
/**
 * Notice, question, answer and the call of the store each pass such a link, and
 * all have to fit into half of the bound.
 */
const MAX_DELAY_MS = CONFIG_IN_FORCE_MS / 2 / 4;

const CALL = {
  serverId: 's-1',
  serverIncarnation: 1,
  group: 'desk',
  method: 'GET',
  path: '/x',
  headers: [],
  customer: '',
  class: 'download',
  priority: 'high',
  hops: 0,
  fingerprint: '',
  remainingMs: 60_000,
  sentMs: 0,
  end: true,
  body: Buffer.alloc(0),
} as const;

const RUNNER: CallRunner = {
  run: (unusedHead, unusedBody, events) => {
    events.answerStart(200, [], {...NO_LOAD});
    events.answerData(Buffer.alloc(ANSWER_BYTES));
    events.answerEnd([]);
    return {
      data: () => undefined,
      end: () => undefined,
      credit: () => undefined,
      cancel: () => undefined,
    };
  },
};

const NOTICE = {
  type: 'configNotice',
  body: {version: 7, ageMs: 0, sentMs: 0},
} as const;

/** Notices were late by seconds behind the answers of the server beside them. */
describe('messages of a host whose link is full of answers', () => {
  let timers: FakeTimers;
  let bus: Bus;
  let uplink: SimulatedUplink;

  beforeEach(() => {
    timers = install({
      toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'setImmediate'],
    });
    bus = new Bus();
    const clock = {now: () => timers.now};
    uplink = new SimulatedUplink(BYTES_PER_MS, bus, clock.now);
    const memory = new HeldMemory({
      settings: SETTINGS,
      bus,
      transport: uplink,
      clock,
      logger: SILENT,
    });
    new IncomingCalls(bus, RUNNER, clock, memory);
  });

  afterEach(() => timers.uninstall());

  function call(callId: number): void {
    const nodeId = `n-${callId % PEERS}`;
    const peer: Peer = {nodeId, incarnation: 1, dataCentre: 'a', region: 'r'};
    const body = {...CALL, callId} as never;
    bus.publishPeerMessage(peer, {type: 'callStart', body});
  }

  async function load(): Promise<void> {
    let callId = 0;
    setInterval(() => call((callId += 1)), ANSWER_INTERVAL_MS);
    setInterval(() => {
      for (let i = 0; i < PEERS; i++) {
        bus.publish('send-peer', {nodeId: `n-${i}`, message: NOTICE});
      }
    }, NOTICE_INTERVAL_MS);
    await timers.tickAsync(LOAD_MS);
  }

  it('do not wait for the answers', async () => {
    await load();
    const delays = uplink.passed
      .filter(({message}) => message.type === 'configNotice')
      .map(({delayMs}) => delayMs);
    expect(Math.max(...delays)).to.be.at.most(MAX_DELAY_MS);
    expect(delays).to.have.length.above(PEERS * 30);
  });

  it('leave the link to the answers', async () => {
    await load();
    const linkBytesPerS = BYTES_PER_MS * 1_000;
    expect(uplink.throughput(LOAD_MS)).to.be.above(0.85 * linkBytesPerS);
  });
});
