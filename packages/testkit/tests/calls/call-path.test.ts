import {createHash, randomBytes} from 'node:crypto';
import {EventEmitter, once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {Readable} from 'node:stream';

import {expect} from 'chai';
import {request} from 'undici';

import {CallFixture, TIMEOUT_MS} from './call-fixture.js';

type Handler = (req: IncomingMessage, res: ServerResponse) => void;

const ENTRY_NODES = ['local', 'remote'] as const;
const BIG_BYTES = 8 * 1024 * 1024;

async function bodyOf(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/**
 * Sends text over a new connection; resolves with all that is received until
 * the node ends the connection.
 */
function exchangeRaw(url: string, text: string): Promise<string> {
  const {hostname, port} = new URL(url);
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), hostname);
    let answer = '';
    socket.on('data', chunk => (answer += chunk.toString()));
    socket.on('end', () => resolve(answer));
    socket.on('error', reject);
    socket.write(text);
  });
}

for (const entry of ENTRY_NODES) {
  describe(`calls through the ${entry} node`, () => {
    let fixture: CallFixture;

    beforeEach(() => {
      fixture = new CallFixture();
    });

    afterEach(() => fixture.stop());

    async function start(handler: Handler, slots = 12): Promise<string> {
      await fixture.start([handler], slots);
      return fixture.urls[entry];
    }

    it('passes on the remaining time and the hop count', async () => {
      const url = await start((req, res) => {
        res.end(JSON.stringify(req.headers));
      });
      const headers = {
        'x-turmericmill-deadline-ms': '700',
        'x-turmericmill-hops': '3',
      };
      const res = await request(`${url}/once`, {headers});
      const receivedHeaders = (await res.body.json()) as Record<string, string>;
      expect(receivedHeaders['x-turmericmill-hops']).to.equal('4');
      const remainingMs = Number(receivedHeaders['x-turmericmill-deadline-ms']);
      expect(remainingMs).to.be.within(1, 700);
    });

    const refusedCases: [string, Record<string, string>, number, string][] = [
      ['a malformed deadline', {'deadline-ms': 'x'}, 400, 'malformed'],
      ['a malformed hop count', {hops: '-1'}, 400, 'malformed'],
      ['too many hops', {hops: '32'}, 508, 'too-many-hops'],
      ['no remaining time', {'deadline-ms': '0'}, 504, 'deadline'],
    ];
    it('refuses calls with malformed or exceeded limits as not run', async () => {
      let runs = 0;
      const url = await start((req, res) => {
        runs += 1;
        res.end();
      });
      for (const [name, limits, status, reason] of refusedCases) {
        const headers = Object.fromEntries(
          Object.entries(limits).map(([k, v]) => [`x-turmericmill-${k}`, v]),
        );
        const res = await request(`${url}/once`, {headers});
        await res.body.dump();
        expect(res.statusCode, name).to.equal(status);
        expect(res.headers['x-turmericmill-reason']).to.equal(reason);
        expect(res.headers['x-turmericmill-outcome']).to.equal('not-run');
      }
      expect(runs).to.equal(0);
    });

    it('sends 100 Continue only for a call that it accepts', async () => {
      const url = await start((req, res) => {
        void bodyOf(req).then(body => res.end(body));
      });
      const head = (path: string, more = '') =>
        `PUT ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n${more}` +
        'content-length: 2\r\nexpect: 100-continue\r\n\r\n';
      const accepted = await exchangeRaw(url, `${head('/once')}ok`);
      expect(accepted).to.match(/^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200/);
      const limits = 'x-turmericmill-deadline-ms: 0\r\n';
      const refusal = await exchangeRaw(url, head('/once', limits));
      expect(refusal).to.match(/^HTTP\/1.1 504/);
    });

    it('runs at most as many calls as slots and refuses excess calls as not run', async () => {
      let running = 0;
      let maxRunning = 0;
      const url = await start((req, res) => {
        running += 1;
        maxRunning = Math.max(maxRunning, running);
        setTimeout(() => {
          running -= 1;
          res.end('done');
        }, 100);
      }, 2);
      const calls = Array.from({length: 40}, () => request(`${url}/once`));
      const answers = await Promise.all(calls);
      for (const res of answers) await res.body.dump();
      expect(maxRunning).to.equal(2);
      const refusals = answers.filter(res => res.statusCode !== 200);
      expect(refusals).to.not.be.empty;
      for (const {headers} of refusals) {
        expect(headers['x-turmericmill-outcome']).to.equal('not-run');
        expect(headers['x-turmericmill-retry']).to.equal('no');
      }
    });

    it('cancels a call at its deadline, with outcome unknown', async () => {
      let cancelled: Promise<void> | undefined;
      const url = await start((req, res) => {
        cancelled = new Promise(resolve => res.on('close', resolve));
      });
      const headers = {'x-turmericmill-deadline-ms': '200'};
      const res = await request(`${url}/again`, {headers});
      await res.body.dump();
      expect(res.statusCode).to.equal(504);
      expect(res.headers['x-turmericmill-outcome']).to.equal('unknown');
      await cancelled;
    });

    it('cancels the call of a caller that disconnects', async () => {
      const server = new EventEmitter();
      const arrived = once(server, 'arrived');
      const cancelled = once(server, 'closed');
      const url = await start((req, res) => {
        res.on('close', () => server.emit('closed'));
        server.emit('arrived');
      });
      const controller = new AbortController();
      const call = request(`${url}/once`, {signal: controller.signal});
      const result = call.catch(() => 'aborted');
      await arrived;
      controller.abort();
      expect(await result).to.equal('aborted');
      await cancelled;
    });

    it('streams large bodies completely in both directions', async () => {
      const url = await start((req, res) => {
        res.writeHead(200, {trailer: 'x-digest'});
        const hash = createHash('sha256');
        req.on('data', (chunk: Buffer) => hash.update(chunk));
        req.on('end', () => res.addTrailers({'x-digest': hash.digest('hex')}));
        req.pipe(res);
      });
      const sent = randomBytes(BIG_BYTES);
      const digest = createHash('sha256').update(sent).digest('hex');
      const chunks = Array.from({length: 128}, (unused, i) =>
        sent.subarray((i * BIG_BYTES) / 128, ((i + 1) * BIG_BYTES) / 128),
      );
      const res = await request(`${url}/files`, {
        method: 'PUT',
        body: Readable.from(chunks),
      });
      const answer = Buffer.from(await res.body.arrayBuffer());
      expect(answer.length).to.equal(BIG_BYTES);
      expect(answer.equals(sent)).to.equal(true);
      expect(res.trailers['x-digest']).to.equal(digest);
    });

    it('sends a large body to another server if one is unreachable', async () => {
      const echo: Handler = (req, res) => void req.pipe(res);
      const [first] = await fixture.start([echo, echo], 12);
      first!.stopListening();
      const sent = randomBytes(BIG_BYTES / 8);
      for (let i = 0; i < 8; i++) {
        const res = await request(`${fixture.urls[entry]}/once`, {
          method: 'PUT',
          body: Readable.from([sent.subarray(0, 100), sent.subarray(100)]),
        });
        const answer = Buffer.from(await res.body.arrayBuffer());
        expect(res.statusCode).to.equal(200);
        expect(answer.equals(sent)).to.equal(true);
      }
    });

    it('completes an answer that began before the deadline', async () => {
      const url = await start((req, res) => {
        res.write('begun, ');
        setTimeout(() => res.end('ended'), 400);
      });
      const headers = {'x-turmericmill-deadline-ms': '200'};
      const res = await request(`${url}/files`, {headers});
      expect(await res.body.text()).to.equal('begun, ended');
    });

    const brokenCases: [string, number][] = [
      ['once', 1],
      ['again', 2],
    ];
    for (const [route, expectedRuns] of brokenCases) {
      it(`runs "${route}" ${expectedRuns} time(s) when connections break`, async () => {
        let runs = 0;
        const handler: Handler = req => {
          runs += 1;
          req.socket.destroy();
        };
        await fixture.start([handler, handler], 12);
        const url = `${fixture.urls[entry]}/${route}`;
        const res = await request(url, {method: 'POST', body: 'x'});
        await res.body.dump();
        expect(res.statusCode).to.equal(502);
        expect(res.headers['x-turmericmill-outcome']).to.equal('unknown');
        expect(runs).to.equal(expectedRuns);
      });
    }

    it('quarantines a request that has crashed two servers', async () => {
      let runs = 0;
      const handlerOf = (index: number): Handler => {
        return (req, res) => {
          if (req.url !== '/once/bad') {
            res.end('fine');
            return;
          }
          runs += 1;
          void servers[index]?.crash();
        };
      };
      const servers = await fixture.start([handlerOf(0), handlerOf(1)], 12);
      const url = `${fixture.urls[entry]}/once`;
      const statuses: number[] = [];
      for (const type of ['crashReport', 'quarantine', undefined] as const) {
        const sent = type && fixture.whenSent(type);
        const res = await request(`${url}/bad`, {method: 'POST', body: 'x'});
        await res.body.dump();
        statuses.push(res.statusCode);
        await sent;
      }
      expect(statuses).to.deep.equal([502, 502, 403]);
      expect(runs).to.equal(2);
      const other = await request(`${url}/good`);
      expect(await other.body.text()).to.equal('fine');
    });

    it('keeps the connection of a caller open between calls', async () => {
      const url = await start((req, res) => {
        res.end(req.url);
      });
      const call = (path: string, connection: string) =>
        `GET ${path} HTTP/1.1\r\nhost: a\r\nconnection: ${connection}\r\n\r\n`;
      const text = call('/once/1', 'keep-alive') + call('/once/2', 'close');
      const answer = await exchangeRaw(url, text);
      expect(answer.match(/\/once\/\d/g)).to.deep.equal(['/once/1', '/once/2']);
    });

    it('answers 504 after the timeout when the server does not answer', async () => {
      const url = await start(() => undefined);
      const startedMs = performance.now();
      const res = await request(`${url}/once`);
      await res.body.dump();
      expect(res.statusCode).to.equal(504);
      const elapsedMs = performance.now() - startedMs;
      expect(elapsedMs).to.be.within(TIMEOUT_MS - 10, TIMEOUT_MS + 500);
    });
  });
}
