import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

import {expect} from 'chai';

import {waitUntil} from '../../src/mesh/wait-until.js';
import {AppServer} from '../../src/platform/app-server.js';
import {StoreServer} from '../../src/platform/store-server.js';
import {CONFIG, get, launch, settings} from './sidecar-process.js';

const WORK_MS = 1_000;
const START_MS = 10_000;

// A signal during the shutdown ended the process with its requests at work.
describe('a second signal to a node that shuts down', function () {
  this.timeout(30_000);

  for (const [first, second] of [
    ['SIGTERM', 'SIGTERM'],
    ['SIGTERM', 'SIGINT'],
    ['SIGINT', 'SIGINT'],
  ] as const) {
    it(`ends no request: ${second} after ${first}`, async () => {
      const ip = `127.${190 + (process.pid % 30)}.0.1`;
      const folder = mkdtempSync(join(tmpdir(), 'turmericmill-'));
      const store = new StoreServer();
      store.put('keyed.op', 'config', CONFIG);
      const app = new AppServer({
        id: 'i-1',
        service: 'desk',
        address: ip,
        port: 8147,
        control: {address: ip, port: 8146},
        workMs: WORK_MS,
        slots: 4,
      });
      await app.listen();
      const path = join(folder, 'settings.yaml');
      writeFileSync(path, settings(ip, await store.listen()));
      const node = launch(path);
      const ended = once(node, 'exit');
      try {
        const reported = async () => {
          try {
            return (await app.report('ready')) === 200;
          } catch {
            // Refused until the node listens.
            return false;
          }
        };
        await waitUntil(reported, START_MS);
        const served = async () => (await get(ip, '/d/first')) === 200;
        await waitUntil(served, START_MS);
        const status = get(ip, '/d/second');
        await sleep(WORK_MS / 4);
        node.kill(first);
        await sleep(WORK_MS / 4);
        node.kill(second);
        expect(await status).to.equal(200);
        expect(await ended).to.deep.equal([0, null]);
      } finally {
        if (node.exitCode === null && node.signalCode === null) {
          node.kill('SIGKILL');
          await ended;
        }
        await app.close();
        await store.close();
        rmSync(folder, {recursive: true, force: true});
      }
    });
  }
});
