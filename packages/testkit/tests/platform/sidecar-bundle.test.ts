import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {expect} from 'chai';

import {readHostCommand} from '../../src/platform/host-command.js';
import {
  createSettings,
  formatSettings,
} from '../../src/platform/host-settings.js';
import {StoreServer} from '../../src/platform/store-server.js';

const SCRIPT = fileURLToPath(
  new URL('../../../../../scripts/bundle-sidecar.mjs', import.meta.url),
);
const CACHE_MESSAGE = 'The code cache is missing or of another version.\n';

describe('the bundled sidecar', () => {
  const {flags, program} = readHostCommand();
  let folder: string;
  let settingsPath: string;
  let store: StoreServer;
  let node: ChildProcess | undefined;

  before(async () => {
    execFileSync(process.execPath, [SCRIPT]);
    folder = mkdtempSync(join(tmpdir(), 'turmericmill-'));
    settingsPath = join(folder, 'settings.json');
    store = new StoreServer();
    const settings = createSettings('127.0.78.1', await store.listen());
    writeFileSync(settingsPath, formatSettings(settings));
  });

  afterEach(async () => {
    const ended = node && once(node, 'exit');
    node?.kill('SIGKILL');
    await ended;
  });

  after(async () => {
    await store.close();
    rmSync(folder, {recursive: true});
  });

  /** Returns what a node has written to standard error once it has started. */
  async function start(nodeFlags: readonly string[]): Promise<string> {
    let errors = '';
    const child = spawn(process.execPath, [...nodeFlags, program], {
      env: {...process.env, TURMERICMILL_BOOT: settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node = child;
    child.stderr.on('data', chunk => (errors += String(chunk)));
    let output = '';
    while (!output.includes('"msg":"started"')) {
      const [chunk] = (await once(child.stdout, 'data')) as [Buffer];
      output += chunk.toString();
    }
    return errors;
  }

  it('starts with its code cache', async () => {
    expect(await start(flags)).to.equal('');
  });

  it('starts without its code cache if it was written with other flags', async () => {
    const otherFlags = [...flags, '--stack-size=900'];
    expect(await start(otherFlags)).to.equal(CACHE_MESSAGE);
  });
});
