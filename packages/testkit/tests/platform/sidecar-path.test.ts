import {request} from 'node:http';

import {expect} from 'chai';

import {configDocument} from '../../src/platform/config-document.js';
import {
  SidecarMesh,
  type SidecarHost,
} from '../../src/platform/sidecar-mesh.js';
import {waitUntil} from '../../src/mesh/wait-until.js';

/** Services of the hosts; a configuration names all that exist. */
const SERVICES = ['desk', 'vault'];

/** Builds a configuration; `routes` maps path prefixes to services. */
function buildConfig(version: number, routes: Record<string, string>): string {
  return configDocument(version, routes, SERVICES);
}

interface Answer {
  status: number;
  seal: string;
  body: string;
}

let nextRequest = 0;

function call(
  {settings}: SidecarHost,
  path: string,
  options: {body?: string; disconnectAfterMs?: number} = {},
): Promise<Answer> {
  nextRequest += 1;
  const {address, port} = settings.listen.callers;
  return new Promise((resolve, reject) => {
    const req = request(
      {
        host: address,
        port,
        path,
        agent: false,
        method: options.body === undefined ? 'GET' : 'POST',
        headers: {
          host: 'shop.example',
          'x-turmericmill-request-id': `q-${nextRequest}`,
          'x-turmericmill-request-deadline': '900',
          'x-turmericmill-caller-service': 'forged',
        },
      },
      res => {
        let body = '';
        res.on('data', (chunk: Buffer) => (body += chunk.toString()));
        res.on('end', () => {
          const seal = String(res.headers['x-turmericmill-response-seal']);
          resolve({status: res.statusCode ?? 0, seal, body});
        });
      },
    );
    req.once('error', reject);
    req.end(options.body);
    if (options.disconnectAfterMs === undefined) return;
    setTimeout(() => req.destroy(), options.disconnectAfterMs);
  });
}

/** Fails unless the condition holds within `timeoutMs`. */
async function eventually(
  isMet: () => Promise<boolean>,
  timeoutMs: number,
  description: string,
): Promise<void> {
  const elapsedMs = await waitUntil(isMet, timeoutMs);
  expect(elapsedMs, `${description} within ${timeoutMs} ms`).to.not.equal(
    undefined,
  );
}

const HOSTS = [
  {dataCentre: 'a', service: 'desk'},
  {dataCentre: 'a', service: 'vault'},
  {dataCentre: 'b', service: 'desk'},
];

describe('Sidecar on the platform', function () {
  this.timeout(20_000);
  let mesh: SidecarMesh;

  async function start(workMs?: number): Promise<SidecarHost[]> {
    mesh = new SidecarMesh(workMs);
    await mesh.start(HOSTS);
    mesh.store.put(
      'keyed.op',
      'config',
      buildConfig(7, {d: 'desk', v: 'vault'}),
    );
    for (const {app} of mesh.hosts) {
      expect(await app.report('ready')).to.equal(200);
    }
    await waitUntilServed(mesh.hosts);
    return mesh.hosts;
  }

  /** Waits until each of the hosts answers requests on every route. */
  async function waitUntilServed(hosts: SidecarHost[]): Promise<void> {
    for (const host of hosts) {
      for (const path of ['/d/x', '/v/x']) {
        await eventually(
          async () => (await call(host, path)).status === 200,
          10_000,
          'served',
        );
      }
    }
  }

  afterEach(() => mesh.stop());

  it('returns the complete answer of another host with its seal', async () => {
    const [entry, vault] = await start();
    const answer = await call(entry!, '/v/x?y=1');
    const requestId = `q-${nextRequest}`;
    expect(answer).to.deep.equal({
      status: 200,
      seal: `seal-${requestId}`,
      body: `i-2 ${requestId}`,
    });
    const run = vault!.app.runs.at(-1);
    expect(run).to.deep.include({path: '/v/x?y=1', callerService: 'desk'});
    expect(run?.remainingMs).to.be.within(1, 800);
  });

  it('names the service that the settings in force give to its host', async () => {
    const [entry, vault] = await start();
    entry!.node.reload({...entry!.settings, service: 'kiosk'});
    await call(entry!, '/v/x');
    expect(vault!.app.runs.at(-1)?.callerService).to.equal('kiosk');
  });

  it('answers 404 for a path without a route', async () => {
    const [entry] = await start();
    expect((await call(entry!, '/none/')).status).to.equal(404);
  });

  it('enforces a new version on every node and never an older one', async () => {
    const hosts = await start();
    mesh.store.put('keyed.op', 'config', buildConfig(9, {v: 'vault'}));
    for (const host of hosts) {
      await eventually(
        async () => (await call(host, '/d/x')).status === 404,
        2_000,
        'the route dropped',
      );
    }
    mesh.store.put('keyed.op', 'config', buildConfig(8, {d: 'desk'}));
    mesh.store.trimHistory('keyed.op');
    await new Promise(resolve => setTimeout(resolve, 300));
    for (const host of hosts) {
      expect((await call(host, '/d/x')).status).to.equal(404);
    }
  });

  it('keeps the version in force when a malformed one is published', async () => {
    const [entry] = await start();
    mesh.store.put('keyed.op', 'config', '{"version":"r99"');
    await new Promise(resolve => setTimeout(resolve, 200));
    expect((await call(entry!, '/d/x')).status).to.equal(200);
  });

  it('continues to read after the store has removed its history', async () => {
    const hosts = await start();
    mesh.store.trimHistory('keyed.op');
    mesh.store.put('keyed.op', 'config', buildConfig(12, {v: 'vault'}));
    for (const host of hosts) {
      await eventually(
        async () => (await call(host, '/d/x')).status === 404,
        3_000,
        'the newest version',
      );
    }
  });

  it('sends no requests to a server whose draining is acknowledged', async () => {
    const hosts = await start();
    const [first, , third] = hosts;
    expect(await third!.app.report('draining')).to.equal(200);
    const before = third!.app.runs.length;
    for (let i = 0; i < 20; i++) {
      expect((await call(first!, '/d/x')).status).to.equal(200);
    }
    expect(third!.app.runs.length).to.equal(before);
  });

  for (const leave of ['draining', 'deregister'] as const) {
    it(`does not use a departed server again after a restart: ${leave}`, async () => {
      const hosts = await start();
      const [first, , third] = hosts;
      const {app} = third!;
      const left =
        leave === 'draining' ? app.report('draining') : app.deregister();
      expect(await left).to.equal(200);
      await mesh.restartNode(third!);
      expect(await app.reportLate('ready')).to.equal(200);
      const before = app.runs.length;
      await waitUntilServed([first!, third!]);
      for (let i = 0; i < 20; i++) await call(first!, '/d/x');
      expect(app.runs.length).to.equal(before);
    });
  }

  it('refuses immediately when the service has no servers left', async () => {
    const hosts = await start();
    await hosts[1]!.app.deregister();
    const startedMs = performance.now();
    const answer = await call(hosts[0]!, '/v/x');
    expect(answer.status).to.equal(503);
    expect(performance.now() - startedMs).to.be.below(200);
  });

  it('rejoins through its peers while the store is down', async () => {
    const hosts = await start();
    const third = hosts[2]!;
    mesh.store.faults.down = true;
    await mesh.restartNode(third);
    expect((await call(third, '/v/x')).status).to.equal(503);
    expect(third.node.isReady).to.equal(false);
    expect(await third.app.report('ready')).to.equal(200);
    // Its peers still probe its address, so it rejoins through them.
    await waitUntilServed([third]);
  });

  it('cancels the request of a caller that has disconnected', async () => {
    const [entry, vault] = await start(200);
    const before = vault!.app.cancelled;
    const disconnected = call(entry!, '/v/x', {disconnectAfterMs: 50});
    await disconnected.catch((err: unknown) => err);
    await eventually(
      () => Promise.resolve(vault!.app.cancelled === before + 1),
      500,
      'the request cancelled',
    );
  });

  it('answers 413 to a body over the limit', async () => {
    const [entry] = await start();
    const answer = await call(entry!, '/d/x', {body: 'x'.repeat(100_001)});
    expect(answer.status).to.equal(413);
  });
});
