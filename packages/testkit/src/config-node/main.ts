/**
 * Runs a node with only transport and configuration, to measure the cost of
 * distribution alone. The benchmark sets the node's members.
 */

import {createInterface} from 'node:readline';

import {
  Bus,
  ConfigTask,
  FleetVersions,
  TransportTask,
} from '@turmericmill/node';
import {HttpLogClient} from '@turmericmill/platform';
import {SystemClock, SystemRandom} from '@turmericmill/utils';
import {MAX_PROTOCOL_VERSION, MIN_PROTOCOL_VERSION} from '@turmericmill/wire';
import bunyan from 'bunyan';

import type {
  ConfigNodeCommand,
  ConfigNodeLine,
  ConfigNodeOptions,
} from './messages.js';

const POLL_INTERVAL_MS = 1000;

const options = JSON.parse(process.argv[2] ?? '{}') as ConfigNodeOptions;
const {nodeId, dataCentre, region, mode} = options;
const clock = new SystemClock();
const random = new SystemRandom();
const bus = new Bus();
const log = new HttpLogClient({urls: [options.logUrl]});
const logger = bunyan.createLogger({
  name: nodeId,
  streams: [{level: 'error', stream: process.stderr}],
});
const hello = {
  minVersion: MIN_PROTOCOL_VERSION,
  maxVersion: MAX_PROTOCOL_VERSION,
  nodeId,
  incarnation: clock.now(),
  dataCentre,
  region,
};
const address = '127.0.0.1';
const transport = new TransportTask(
  {address, port: 0, hello},
  bus,
  clock,
  logger,
);

function write(line: ConfigNodeLine): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function handleCommand(command: ConfigNodeCommand): void {
  if (command.type === 'members') {
    bus.publish('view-changed', {members: command.members});
    return;
  }
  const {controlBytesOut, messagesOut} = transport.counts;
  const peakFetchesPerSecond = Math.max(0, ...fetchesBySecond.values());
  write({type: 'count', controlBytesOut, messagesOut, peakFetchesPerSecond});
}

/** Number of fetches received in each second. */
const fetchesBySecond = new Map<number, number>();

function countFetch(): void {
  const second = Math.floor(clock.now() / 1000);
  fetchesBySecond.set(second, (fetchesBySecond.get(second) ?? 0) + 1);
}

/** Baseline: polls the log, whose newest record holds the whole set. */
async function pollLog(): Promise<void> {
  let newest = 0;
  let enforced = -1;
  await new Promise(resolve => {
    setTimeout(resolve, random.next() * POLL_INTERVAL_MS);
  });
  for (;;) {
    const page = await log.read('config', newest, {limit: 1000, waitMs: 0});
    if (page.isOk()) newest = Math.max(newest, page.value.next - 1);
    if (page.isOk() && page.value.records.length > 0 && newest > enforced) {
      enforced = newest;
      write({type: 'enforced', version: newest, atMs: clock.now()});
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

await transport.start();
bus.onPeerMessage('configFetch', countFetch);
if (mode === 'poll') {
  void pollLog();
} else {
  const expectsPeers = true;
  const identity = {nodeId, dataCentre, region, preference: mode, expectsPeers};
  const fleet = new FleetVersions();
  const parts = {log, bus, fleet, clock, random, logger};
  const config = new ConfigTask(identity, parts);
  bus.subscribe('config-in-force', ({state}) => {
    write({type: 'enforced', version: state.version, atMs: clock.now()});
  });
  config.start();
}
const lines = createInterface({input: process.stdin});
lines.on('line', line => handleCommand(JSON.parse(line) as ConfigNodeCommand));
lines.on('close', () => process.exit(0));
write({type: 'ready', port: transport.port});
