import {Node, parseSettings, type NodePorts} from '@turmericmill/node';
import {
  CLAIM_PARTITIONS,
  claimKey,
  claimPartition,
  selectClaimWriter,
} from '@turmericmill/routing';
import bunyan from 'bunyan';
import {expect} from 'chai';
import {request} from 'undici';

import {publishFiles} from '../src/bench/publish-files.js';
import {BackendServer, LogServer} from '../src/index.js';

const FILE_SET = JSON.stringify({
  classes: [{name: 'interactive', priority: 'interactive'}],
  backendServerGroups: [
    {name: 'teller-desk', maxSlots: 9, maxConnections: 130},
  ],
  services: [
    {name: 'posting', backendServerGroup: 'teller-desk', timeoutMs: 3000},
  ],
  routes: [
    {
      name: 'posting',
      match: {pathPrefix: '/posting'},
      service: 'posting',
      class: 'interactive',
      repetition: 'at-most-once',
    },
  ],
});
const MAX_ATTEMPTS = 500;
const GROUP = 'kalayaan/teller-desk';
const NODE_IDS = ['node-a', 'node-b', 'node-c'];
const SILENT = bunyan.createLogger({name: 'test', level: bunyan.FATAL + 1});

interface RunningNode {
  node: Node;
  ports: NodePorts;
  /**
   * Resolves when a configuration is in force and the view contains all nodes
   * and servers.
   */
  ready: Promise<void>;
}

interface Reply {
  status: number;
  outcome: unknown;
  replayed: unknown;
  text: string;
}

async function startNode(
  nodeId: string,
  logUrl: string,
  seeds: string[],
): Promise<RunningNode> {
  const loopback = {address: '127.0.0.1', port: 0};
  const settings = {
    nodeId,
    dataCentre: 'ncr-a',
    region: 'ncr',
    mesh: loopback,
    calls: loopback,
    announce: loopback,
    admin: {...loopback, token: 'test-token-of-this-node'},
    log: {urls: [logUrl]},
    seeds,
  };
  const parsed = parseSettings('node.json', JSON.stringify(settings));
  const node = new Node(parsed.unwrap(), SILENT);
  const ready = new Promise<void>(resolve => {
    let enforced = false;
    let complete = false;
    const check = () => enforced && complete && resolve();
    node.bus.subscribe('config-in-force', () => {
      enforced = true;
      check();
    });
    node.bus.subscribe('view-changed', ({members}) => {
      const servers = members.flatMap(member => member.servers);
      complete = members.length === 3 && servers.length === 2;
      check();
    });
  });
  return {node, ports: await node.start(), ready};
}

async function post(
  {ports}: RunningNode,
  key: string,
  body = 'amount=1',
): Promise<Reply> {
  const res = await request(`http://127.0.0.1:${ports.calls}/posting`, {
    method: 'POST',
    headers: {'idempotency-key': key, 'x-customer': 'bank'},
    body,
  });
  return {
    status: res.statusCode,
    outcome: res.headers['x-turmericmill-outcome'],
    replayed: res.headers['x-turmericmill-replayed'],
    text: await res.body.text(),
  };
}

/** Retries while the first answer or the claim writer is not known yet. */
async function postUntilAnswered(
  node: RunningNode,
  key: string,
): Promise<Reply> {
  for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
    const reply = await post(node, key);
    if (reply.status === 200) return reply;
  }
  throw new Error(`The answer to ${key} did not become known.`);
}

/** Returns a key whose partition is written by the node with this index. */
function keyWrittenBy(index: number): string {
  for (let i = 0; ; i++) {
    const key = `key-${index}-${i}`;
    const partition = claimPartition(claimKey('bank', key), CLAIM_PARTITIONS);
    if (selectClaimWriter(partition, NODE_IDS) === NODE_IDS[index]) return key;
  }
}

describe('idempotency keys', () => {
  let log: LogServer;
  let nodes: RunningNode[];
  let servers: BackendServer[];

  const runs = () => servers.flatMap(server => server.runs).length;

  beforeEach(async () => {
    log = new LogServer();
    const logUrl = await log.start();
    nodes = [];
    for (const nodeId of NODE_IDS) {
      const seeds = nodes.map(({ports}) => `127.0.0.1:${ports.mesh}`);
      nodes.push(await startNode(nodeId, logUrl, seeds));
    }
    servers = [0, 1].map(
      i =>
        new BackendServer({
          name: `server-${i}`,
          group: GROUP,
          slots: 9,
          connections: 130,
          announceUrl: `http://127.0.0.1:${nodes[i]!.ports.announce}`,
          workMs: 20,
        }),
    );
    for (const server of servers) await server.start();
    await publishFiles(logUrl, 'kalayaan', [{file: 'a.json', text: FILE_SET}]);
    await Promise.all(nodes.map(({ready}) => ready));
  });

  afterEach(async () => {
    for (const server of servers) await server.stop();
    await Promise.all(nodes.map(({node}) => node.stop()));
    await log.stop();
  });

  for (const writer of [0, 1, 2]) {
    it(`return the first answer through any node (writer ${writer})`, async () => {
      const key = keyWrittenBy(writer);
      const first = await post(nodes[0]!, key);
      expect(first).to.deep.include({status: 200, text: 'amount=1'});
      expect(first.replayed).to.equal(undefined);
      for (const node of nodes) {
        const again = await postUntilAnswered(node, key);
        expect(again).to.deep.include({status: 200, text: 'amount=1'});
        expect(again.replayed).to.equal('true');
      }
      expect(runs()).to.equal(1);
    });
  }

  it('run only one of many concurrent attempts', async () => {
    const key = keyWrittenBy(1);
    const attempts = Array.from({length: 12}, (unused, i) =>
      post(nodes[i % 3]!, key),
    );
    const replies = await Promise.all(attempts);
    const answered = replies.filter(reply => reply.status === 200);
    const claimed = replies.filter(reply => reply.status === 409);
    expect(answered.length + claimed.length).to.equal(12);
    expect(answered.length).to.be.at.least(1);
    for (const reply of claimed) expect(reply.outcome).to.equal('unknown');
    expect(runs()).to.equal(1);
  });

  it('keep the answer of a call whose caller disconnected', async () => {
    const key = keyWrittenBy(1);
    const controller = new AbortController();
    const aborted = request(
      `http://127.0.0.1:${nodes[2]!.ports.calls}/posting`,
      {
        method: 'POST',
        headers: {'idempotency-key': key, 'x-customer': 'bank'},
        body: 'amount=1',
        signal: controller.signal,
      },
    ).catch(() => undefined);
    while (runs() === 0) await new Promise(setImmediate);
    controller.abort();
    await aborted;
    const again = await post(nodes[0]!, key);
    expect(again).to.deep.include({status: 200, replayed: 'true'});
    expect(again.text).to.equal('amount=1');
    expect(runs()).to.equal(1);
  });

  it('refuse a different request with the same key', async () => {
    const key = keyWrittenBy(2);
    await post(nodes[0]!, key);
    const other = await post(nodes[1]!, key, 'amount=2');
    expect(other).to.deep.include({status: 409, outcome: 'not-run'});
    expect(runs()).to.equal(1);
  });

  it('refuse calls as not run while the log is down', async () => {
    await log.stop();
    const refused = await post(nodes[0]!, keyWrittenBy(1));
    expect(refused).to.deep.include({status: 503, outcome: 'not-run'});
    expect(runs()).to.equal(0);
  });

  it('keep their answers when another node becomes the writer', async () => {
    const key = keyWrittenBy(2);
    await post(nodes[0]!, key);
    await postUntilAnswered(nodes[0]!, key);
    const [stopped] = nodes.splice(2, 1);
    await stopped!.node.stop();
    const again = await postUntilAnswered(nodes[1]!, key);
    expect(again).to.deep.include({status: 200, replayed: 'true'});
    expect(runs()).to.equal(1);
  });
});
