/**
 * A small deployment on loopback addresses: the store, and machines with one
 * node process each, started by the command of the deploy file.
 */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {Backend} from './backend.mjs';
import {Store} from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const RUN_LINE = /^run = "(?<command>[^"]*)"$/m;
const READY_INTERVAL_MS = 100;
/** Time in ms until the platform starts a process again that has ended. */
export const RESTART_DELAY_MS = 300;
/** Requests that a server runs at once, as in the site file. */
const SLOTS = 12;

export const HOST = 'mesh.example';

export const BROKEN = 1;
export const HELD = 0;
export const COULD_NOT_RUN = 2;

export const trouble = process.env.TROUBLE !== '0';

export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function freePort(address) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, address, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Fills in the template of the settings; sections are not needed there. */
function renderSettings(fields) {
  const template = readFileSync(
    join(ROOT, 'deploy/settings.json.template'),
    'utf8',
  );
  return template.replace(/\{\{([\w.]+)\|json\}\}/g, (match, path) => {
    const value = path.split('.').reduce((at, name) => at?.[name], fields);
    return JSON.stringify(value ?? null);
  });
}

class Machine {
  child = undefined;
  isUp = false;

  constructor(name, fields, directory, record) {
    this.name = name;
    this.fields = fields;
    this.settingsPath = join(directory, `${name}.json`);
    this.logPath = join(directory, `${name}.log`);
    this.record = record;
  }

  /** Where the clients of this machine send their requests. */
  get callers() {
    return hostPort(this.fields.listen.outbound);
  }

  get control() {
    const {address: host, port} = hostPort(this.fields.listen.control);
    return {host, port};
  }

  /** Options of the server beside this machine's node, without `run`. */
  serverOptions(id) {
    const {service, app_address: address} = this.fields;
    const {control} = this;
    return {id, service, ...hostPort(address), control, slots: SLOTS};
  }

  start() {
    writeFileSync(this.settingsPath, renderSettings(this.fields));
    this.fields.bootstrap = false;
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...args] = RUN_LINE.exec(deploy).groups.command.split(' ');
    const log = openSync(this.logPath, 'a');
    const {PATH, HOME} = process.env;
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: {PATH, HOME, TURMERICMILL_BOOT: this.settingsPath},
      stdio: ['ignore', log, log],
    });
    this.record(`${this.name}: started, process ${this.child.pid}`);
    const {child} = this;
    this.ended = once(child, 'exit').then(([code, signal]) => {
      this.record(`${this.name}: ended, code ${code}, signal ${signal}`);
    });
  }

  signal(name) {
    this.record(`${this.name}: ${name}`);
    this.child.kill(name);
  }

  async kill() {
    this.signal('SIGKILL');
    await this.ended;
  }

  isReady() {
    const {address: host, port} = hostPort(this.fields.listen.ready);
    return new Promise(resolve => {
      const options = {host, port, path: '/api/readiness', agent: false};
      const req = request(options, res => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.setTimeout(1_000, () => req.destroy());
      req.once('error', () => resolve(false));
      req.once('close', () => resolve(false));
      req.end();
    });
  }

  async whenReady(timeoutMs = 20_000) {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
      if (await this.isReady()) return;
      await sleep(READY_INTERVAL_MS);
    }
    throw new Error(`${this.name} was not ready within ${timeoutMs} ms`);
  }
}

function hostPort(text) {
  const colon = text.lastIndexOf(':');
  return {address: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}

export class Deployment {
  store = new Store();
  machines = [];
  directory = mkdtempSync(join(tmpdir(), 'review-'));
  startedMs = Date.now();
  network = `127.${20 + (process.pid % 200)}.${Date.now() % 250}`;

  constructor(recordPath) {
    this.recordPath = recordPath;
    writeFileSync(recordPath, '');
    this.record = this.record.bind(this);
    this.record(`TROUBLE=${trouble ? 1 : 0}`);
  }

  /** Writes a line with the time in ms since the start. */
  record(line) {
    const atMs = String(Date.now() - this.startedMs).padStart(6);
    appendFileSync(this.recordPath, `${atMs} ${line}\n`);
  }

  /**
   * Starts the store with `config`, and one machine for each of `services`. The
   * bounds are those of the small site files.
   */
  async start(config, services) {
    const storePort = await this.store.listen('127.0.0.1');
    this.store.put('keyed.op', 'config', JSON.stringify(config));
    for (const [index, service] of services.entries()) {
      this.machines.push(await this.createMachine(index, service, storePort));
    }
    for (const machine of this.machines) machine.start();
  }

  async createMachine(index, service, storePort) {
    const ip = `${this.network}.${index + 1}`;
    const at = async () => `${ip}:${await freePort(ip)}`;
    const mesh = await freePort(ip);
    const fields = {
      node: `sidecar-zone-1-${index + 1}`,
      ip,
      zone: 'zone-1',
      region: 'region-1',
      bootstrap: true,
      limits: {cpu_share: 0.54, memory_mb: 350, link_mbps: 1000},
      app_address: await at(),
      service,
      listen: {
        outbound: await at(),
        ready: await at(),
        control: await at(),
      },
      internal_ports: [mesh, mesh],
      platform: {address: `127.0.0.1:${storePort}`},
      heartbeat_interval: '1500ms',
      bounds: {
        grace: '6s',
        drain: '2000ms',
        config: '2000ms',
        budget_ratio: 0.2,
        budget_extra_tries: 62,
        budget_window: '10s',
      },
    };
    const name = `machine-${index + 1}`;
    return new Machine(name, fields, this.directory, this.record);
  }

  async whenReady() {
    for (const machine of this.machines) await machine.whenReady();
  }

  /**
   * Starts the server of each machine and waits until its node knows it.
   * `createRun` gets the name and the index of a server, and returns its `run`.
   */
  async startBackends(createRun) {
    const backends = this.machines.map((machine, index) => {
      const id = `i-${index + 1}`;
      const run = createRun(`server ${id}`, index);
      const {record} = this;
      return new Backend({...machine.serverOptions(id), run, record});
    });
    for (const backend of backends) await backend.listen();
    await this.whenReady();
    for (const backend of backends) {
      const status = await backend.startBeats();
      if (status !== 200) throw new Error(`heartbeat answered ${status}`);
    }
    return backends;
  }

  /** Ends all processes that were started. */
  async stop() {
    for (const {child} of this.machines) {
      if (child?.exitCode === null && child.signalCode === null) {
        child.kill('SIGKILL');
      }
    }
    await Promise.all(this.machines.map(({ended}) => ended));
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.directory, {recursive: true});
    } else {
      process.stderr.write(`logs: ${this.directory}\n`);
    }
  }
}

/** A configuration with the routes; other values are those of the pages. */
export function createConfig(version, routes, services) {
  const columns = [
    'name',
    'host',
    'path_prefix',
    'kind',
    'timeout',
    'target_latency',
    'priority',
    'service',
    'max_attempts',
    'traffic_split',
  ];
  return {
    version: `r${version}`,
    routes: {
      columns,
      rows: routes.map(route => {
        const row = {host: HOST, max_attempts: 2, priority: 1, ...route};
        return columns.map(column => row[column] ?? null);
      }),
    },
    services: {
      columns: ['name', 'health_check_path', 'max_connections'],
      rows: services.map(name => [name, '/health', 130]),
    },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
    },
  };
}

/**
 * Runs a case and exits; `play` resolves with one of the exit codes. What
 * happens is written to `recordName` in the folder of the module.
 */
export async function runCase(moduleUrl, play, recordName = 'record.txt') {
  const recordPath = join(dirname(fileURLToPath(moduleUrl)), recordName);
  const deployment = new Deployment(recordPath);
  let code;
  try {
    code = await play(deployment);
  } catch (err) {
    deployment.record(`could not run: ${err.message}`);
    code = COULD_NOT_RUN;
  }
  await deployment.stop();
  deployment.record(`exit code ${code}`);
  process.exit(code);
}
