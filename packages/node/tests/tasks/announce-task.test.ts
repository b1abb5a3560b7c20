import {ManualClock} from '@turmericmill/utils';
import bunyan from 'bunyan';
import {expect} from 'chai';
import {request} from 'undici';

import {Bus, type LocalServer} from '../../src/bus.js';
import {AnnounceTask} from '../../src/tasks/announce-task.js';

const BODY = {
  name: 'lamp-1',
  group: 'nyota/homeowner-api',
  port: 8080,
  slots: 12,
  state: 'ready',
  incarnation: 10,
};

describe('AnnounceTask', () => {
  const clock = new ManualClock(1_000);
  let bus: Bus;
  let task: AnnounceTask;
  let servers: readonly LocalServer[];

  beforeEach(async () => {
    bus = new Bus();
    servers = [];
    bus.subscribe('local-servers', topic => {
      servers = topic.servers;
    });
    const logger = bunyan.createLogger({name: 'test', level: 'fatal'});
    const listen = {address: '127.0.0.1', port: 0};
    task = new AnnounceTask(listen, bus, clock, logger);
    await task.start();
  });

  afterEach(() => task.stop());

  async function send(
    body: string,
    method: 'POST' | 'GET' = 'POST',
    path = '/v1/announce',
  ) {
    const url = `http://127.0.0.1:${task.port}${path}`;
    const options = method === 'POST' ? {method, body} : {method};
    const res = await request(url, options);
    return {status: res.statusCode, body: await res.body.json()};
  }

  const cases: {
    name: string;
    body: string;
    method?: 'GET';
    path?: string;
  }[] = [
    {name: 'an announcement', body: JSON.stringify(BODY)},
    {name: 'malformed JSON', body: '{'},
    {name: 'a missing field', body: '{"name": "lamp-1"}'},
    {name: 'a body that is too large', body: 'x'.repeat(100_000)},
    {name: 'another path', body: '{}', path: '/announce'},
    {name: 'another method', body: '', method: 'GET'},
  ];
  for (const {name, body, method, path} of cases) {
    it(`answers ${name}`, async () => {
      expect(await send(body, method, path)).toMatchSnapshot();
    });
  }

  it('refuses an announcement of an earlier incarnation', async () => {
    await send(JSON.stringify({...BODY, incarnation: 11}));
    const outdated = await send(JSON.stringify({...BODY, state: 'gone'}));
    expect(outdated.status).to.equal(409);
    expect(servers.map(server => server.incarnation)).to.deep.equal([11]);
  });

  it('publishes only changes', async () => {
    let changes = 0;
    bus.subscribe('local-servers', () => {
      changes += 1;
    });
    await send(JSON.stringify(BODY));
    await send(JSON.stringify(BODY));
    bus.publish('drain', {serverId: 'lamp-1', draining: true});
    expect(changes).to.equal(2);
    expect(servers[0]?.state).to.equal('draining');
  });
});
