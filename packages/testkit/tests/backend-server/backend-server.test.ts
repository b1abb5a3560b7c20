import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import {expect} from 'chai';
import {request} from 'undici';

import {
  BackendServer,
  Caller,
  type CallOrder,
  type CallVerdict,
  type RunEnd,
  type ServerBehaviour,
} from '../../src/index.js';

const ORDER: CallOrder = {method: 'POST', path: '/work'};

interface Announced {
  state: string;
  incarnation: number;
}

describe('BackendServer', () => {
  let node: Server;
  let announced: Announced[];
  let server: BackendServer;
  let caller: Caller;

  beforeEach(async () => {
    announced = [];
    node = createServer((req, res) => {
      let text = '';
      req.on('data', chunk => (text += String(chunk)));
      req.on('end', () => {
        announced.push(JSON.parse(text) as Announced);
        res.writeHead(204).end();
      });
    });
    await new Promise<void>(resolve => {
      node.listen(0, '127.0.0.1', resolve);
    });
    const {port} = node.address() as AddressInfo;
    server = new BackendServer({
      name: 's',
      group: 'nyota/lamps',
      slots: 2,
      connections: 4,
      announceUrl: `http://127.0.0.1:${port}`,
    });
    await server.start();
    caller = new Caller(1);
  });

  afterEach(async () => {
    await caller.close();
    await server.stop();
    node.closeAllConnections();
    await new Promise(resolve => node.close(resolve));
  });

  const cases: {
    name: string;
    behaviour: Partial<ServerBehaviour>;
    order: Partial<CallOrder>;
    verdict: CallVerdict;
    end: RunEnd | undefined;
  }[] = [
    {
      name: 'answers with the body of the request',
      behaviour: {},
      order: {},
      verdict: 'answered',
      end: 'answered',
    },
    {
      name: 'answers 503 above the load limit',
      behaviour: {shedAbove: 0},
      order: {},
      verdict: 'unknown',
      end: undefined,
    },
    {
      name: 'crashes on a request with the poison header',
      behaviour: {},
      order: {headers: {'x-poison': '1'}},
      verdict: 'unknown',
      end: 'cut',
    },
    {
      name: 'ends a run at its deadline',
      behaviour: {workMs: 60_000},
      order: {headers: {'x-turmericmill-deadline-ms': '20'}},
      verdict: 'unknown',
      end: 'expired',
    },
    {
      name: 'ends a run when its caller disconnects',
      behaviour: {workMs: 60_000},
      order: {timeoutMs: 50},
      verdict: 'unknown',
      end: 'cancelled',
    },
  ];
  for (const {name, behaviour, order, verdict, end} of cases) {
    it(name, async () => {
      server.behaviour = {...server.behaviour, ...behaviour};
      const call = await caller.call(server.url, {...ORDER, ...order});
      expect(call.verdict).to.equal(verdict);
      while (server.runs[0]?.end === 'running') {
        await new Promise(resolve => setImmediate(resolve));
      }
      expect(server.runs[0]?.end).to.equal(end);
    });
  }

  it('silences open connections but answers on new ones', async () => {
    await caller.call(server.url, ORDER);
    server.silence();
    const silenced = await caller.call(server.url, {...ORDER, timeoutMs: 100});
    expect(silenced.verdict).to.equal('unknown');
    const other = new Caller();
    const answered = await other.call(server.url, ORDER);
    await other.close();
    expect(answered.verdict).to.equal('answered');
  });

  const reports: [ServerBehaviour['health'], number][] = [
    ['true', 200],
    ['lagging', 200],
    ['always-healthy', 200],
    ['always-failing', 503],
  ];
  for (const [health, status] of reports) {
    it(`answers ${status} at the health endpoint when ${health}`, async () => {
      server.behaviour = {...server.behaviour, health};
      const res = await request(`${server.url}/health`);
      await res.body.dump();
      expect(res.statusCode).to.equal(status);
    });
  }

  it('announces draining, and a higher incarnation after a crash', async () => {
    await server.drain();
    await server.crash();
    await server.start();
    const states = announced.map(({state}) => state);
    expect(states).to.deep.equal(['ready', 'draining', 'ready']);
    const [first, , last] = announced;
    expect(last?.incarnation).to.be.greaterThan(first?.incarnation ?? 0);
  });
});
