import {expect} from 'chai';
import {request} from 'undici';

import {publishFiles, waitUntilServed} from '../src/bench/publish-files.js';
import {BackendServer, LogServer} from '../src/index.js';
import {NodeProcess} from '../src/launch/node-process.js';

const FILE_SET = JSON.stringify({
  classes: [{name: 'interactive', priority: 'interactive'}],
  backendServerGroups: [{name: 'desk', maxSlots: 50, maxConnections: 130}],
  services: [{name: 'desk', backendServerGroup: 'desk', timeoutMs: 3000}],
  routes: [
    {
      name: 'posting',
      match: {pathPrefix: '/'},
      service: 'desk',
      class: 'interactive',
      repetition: 'at-most-once',
    },
  ],
});
const KEYS = 200;
/** Numbers of sent keys after which a node is killed with SIGKILL. */
const KILL_AFTER_KEYS = [60, 120];
const MAX_ATTEMPTS = 6;

interface Reply {
  status: number;
  outcome: unknown;
  text: string;
}

describe('idempotency keys while nodes are killed', () => {
  let log: LogServer;
  let nodes: NodeProcess[];
  let server: BackendServer;

  beforeEach(async () => {
    log = new LogServer();
    const logUrl = await log.start();
    nodes = [];
    for (const nodeId of ['n1', 'n2', 'n3']) {
      const seeds = nodes.map(node => node.meshAddress);
      const place = {dataCentre: 'ncr-a', region: 'ncr'};
      const settings = {nodeId, ...place, seeds, logUrl};
      nodes.push(await NodeProcess.launch(settings));
    }
    server = new BackendServer({
      name: 'desk-1',
      group: 'kalayaan/desk',
      slots: 50,
      connections: 130,
      announceUrl: nodes[0]!.announceUrl,
      workMs: 10,
    });
    await server.start();
    await publishFiles(logUrl, 'kalayaan', [{file: 'a.json', text: FILE_SET}]);
    const urls = nodes.map(node => node.callsUrl);
    await waitUntilServed(urls, '/ready');
  });

  afterEach(async () => {
    await server.stop();
    await Promise.all(nodes.map(node => node.kill()));
    await log.stop();
  });

  async function post(node: NodeProcess, key: string): Promise<Reply> {
    try {
      const res = await request(`${node.callsUrl}/posting`, {
        method: 'POST',
        headers: {'idempotency-key': key, 'x-request-id': key},
        body: key,
      });
      const outcome = res.headers['x-turmericmill-outcome'];
      const text = await res.body.text();
      return {status: res.statusCode, outcome, text};
    } catch {
      return {status: 0, outcome: 'unknown', text: ''};
    }
  }

  /** Sends a request to one node after the other until one answers 200. */
  async function postUntilAnswered(first: number, key: string) {
    const replies: Reply[] = [];
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      const node = nodes[(first + i) % nodes.length]!;
      const reply = await post(node, key);
      replies.push(reply);
      if (reply.status === 200) break;
    }
    return replies;
  }

  it('run each request at most once', async () => {
    const pending: Promise<Reply[]>[] = [];
    for (let i = 0; i < KEYS; i++) {
      if (i === KILL_AFTER_KEYS[0]) void nodes[2]!.kill();
      if (i === KILL_AFTER_KEYS[1]) void nodes[1]!.kill();
      pending.push(postUntilAnswered(i % 3, `key-${i}`));
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    const repliesByKey = await Promise.all(pending);
    const runs = new Map<string, number>();
    for (const {requestId} of server.runs) {
      if (!requestId.startsWith('key-')) continue;
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    }
    for (const [key, count] of runs) expect(count, key).to.equal(1);
    for (const [i, replies] of repliesByKey.entries()) {
      const key = `key-${i}`;
      const last = replies.at(-1)!;
      if (last.status === 200) expect(last.text).to.equal(key);
      const allNotRun = replies.every(({outcome}) => outcome === 'not-run');
      if (allNotRun) expect(runs.has(key), key).to.equal(false);
    }
    const answered = repliesByKey.filter(
      replies => replies.at(-1)!.status === 200,
    );
    expect(answered.length).to.be.at.least(KEYS / 2);
    expect(runs.size).to.be.at.least(answered.length);
  });
});
