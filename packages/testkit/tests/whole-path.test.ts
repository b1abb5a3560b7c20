import {randomUUID} from 'node:crypto';

import {expect} from 'chai';
import {request} from 'undici';

import {publishFiles} from '../src/bench/publish-files.js';
import {
  BackendServer,
  LogServer,
  startInProcessNode,
  whenAll,
  type InProcessNode,
} from '../src/index.js';

const FILE_SET = JSON.stringify({
  classes: [{name: 'interactive', priority: 'interactive'}],
  backendServerGroups: [
    {name: 'homeowner-api', maxSlots: 12, maxConnections: 130},
  ],
  services: [
    {name: 'status', backendServerGroup: 'homeowner-api', timeoutMs: 2000},
  ],
  routes: [
    {
      name: 'status',
      match: {pathPrefix: '/status'},
      service: 'status',
      class: 'interactive',
      repetition: 'repeatable',
    },
  ],
});
const GROUP = 'nyota/homeowner-api';
const DATA_CENTRES = ['nairobi-a', 'nairobi-b', 'nairobi-c'];
describe('mesh of three data centres', () => {
  let log: LogServer;
  let logUrl: string;
  let nodes: InProcessNode[];
  let servers: BackendServer[];

  beforeEach(async () => {
    log = new LogServer();
    logUrl = await log.start();
    nodes = [];
    for (const dataCentre of DATA_CENTRES) {
      const seeds = nodes.map(({ports}) => `127.0.0.1:${ports.mesh}`);
      const nodeId = `node-${dataCentre}`;
      const settings = {nodeId, dataCentre, region: 'nairobi', logUrl, seeds};
      nodes.push(await startInProcessNode(settings));
    }
    servers = nodes.slice(0, 2).map(
      ({ports}, i) =>
        new BackendServer({
          name: `server-${i}`,
          group: GROUP,
          slots: 12,
          connections: 130,
          announceUrl: `http://127.0.0.1:${ports.announce}`,
        }),
    );
  });

  afterEach(async () => {
    for (const server of servers) await server.stop();
    for (const {node} of nodes) await node.stop();
    await log.stop();
  });

  it('answers calls at every node after a publication', async () => {
    const serversKnown = whenAll(nodes, 'view-changed', ({members}) => {
      const known = members.flatMap(member => member.servers);
      return known.filter(server => server.group === GROUP).length === 2;
    });
    const enforced = whenAll(nodes, 'config-in-force', ({state}) => {
      return state.version === 0;
    });
    for (const server of servers) await server.start();
    await publishFiles(logUrl, 'nyota', [{file: 'a.json', text: FILE_SET}]);
    await Promise.all([serversKnown, enforced]);

    const sent: string[] = [];
    for (let i = 0; i < 60; i++) {
      const node = nodes[i % nodes.length]!;
      const id = randomUUID();
      sent.push(id);
      const res = await request(
        `http://127.0.0.1:${node.ports.calls}/status/lamp?i=${i}`,
        {method: 'POST', headers: {'x-request-id': id}, body: `lamp ${id}`},
      );
      expect(res.statusCode).to.equal(200);
      expect(res.headers['x-request-id']).to.equal(id);
      expect(await res.body.text()).to.equal(`lamp ${id}`);
    }
    const runs = servers.flatMap(server => server.runs);
    expect(runs.map(run => run.requestId).sort()).to.deep.equal(sent.sort());
    for (const server of servers) expect(server.runs).to.not.be.empty;
  });

  it('refuses a call without a matching route as not run', async () => {
    const url = `http://127.0.0.1:${nodes[0]!.ports.calls}/nowhere`;
    const res = await request(url);
    expect(res.statusCode).to.equal(503);
    expect(res.headers['x-turmericmill-outcome']).to.equal('not-run');
    await res.body.dump();
  });
});
