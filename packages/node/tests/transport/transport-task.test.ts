import {SystemClock} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';
import bunyan from 'bunyan';
import {expect} from 'chai';

import {Bus} from '../../src/bus.js';
import {TransportTask} from '../../src/transport/transport-task.js';

const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});
const HAVE = {
  type: 'configHave',
  body: {version: 4, digest: 'd', settled: true, known: 4, ask: false},
} as const;

class Endpoint {
  readonly bus = new Bus();
  readonly transport: TransportTask;

  constructor(readonly nodeId: string) {
    const place = {dataCentre: 'a-1', region: 'a'};
    const versions = {minVersion: 1, maxVersion: 1};
    const hello = {...versions, ...place, nodeId, incarnation: 1};
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
});
