import {setTimeout as delay} from 'node:timers/promises';

import {emptyConfigState} from '@turmericmill/distribution';
import {
  LogClient,
  type LogError,
  type LogPage,
  type Offset,
  type ReadOptions,
  type StreamBounds,
  type StreamName,
} from '@turmericmill/platform';
import {RoutingTable, selectUsageCollector} from '@turmericmill/routing';
import {
  Err,
  Ok,
  SeededRandom,
  SystemClock,
  type Result,
} from '@turmericmill/utils';
import type {MemberRecord} from '@turmericmill/wire';
import {expect} from 'chai';

import {Bus, type Topics} from '../../src/bus.js';
import {UsageTask, USAGE_TIMINGS} from '../../src/tasks/usage-task.js';

const REGION = 'nairobi';
const PREPAID = 40;
const TIMINGS = {
  ...USAGE_TIMINGS,
  tickMs: 1,
  reportIntervalMs: 2,
  nearLimitIntervalMs: 1,
  appendIntervalMs: 1,
  totalsIntervalMs: 1,
};
const POLL_LIMIT = 2000;

/** In-memory log with one stream, which can be made unavailable. */
class FakeLog extends LogClient {
  readonly bodies: string[] = [];
  isDown = false;
  failures = 0;

  override async append(
    unusedStream: StreamName,
    body: string,
  ): Promise<Result<Offset, LogError>> {
    await delay(1);
    if (this.isDown) return this.fail();
    return Ok(this.bodies.push(body) - 1);
  }

  override async read(
    unusedStream: StreamName,
    from: Offset,
    {limit}: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    await delay(1);
    if (this.isDown) return this.fail();
    const records = this.bodies
      .slice(from, from + limit)
      .map((body, i) => ({offset: from + i, body}));
    return Ok({records, earliest: 0, next: this.bodies.length});
  }

  private fail(): Result<never, LogError> {
    this.failures += 1;
    return Err({code: 'unavailable', message: 'down'});
  }

  override bounds(): Promise<Result<StreamBounds, LogError>> {
    return Promise.resolve(Ok({earliest: 0, next: this.bodies.length}));
  }
}

function memberOf(id: string): MemberRecord {
  return {
    id,
    incarnation: 1,
    status: 'alive',
    address: '127.0.0.1',
    port: 1,
    dataCentre: 'nairobi-a',
    region: REGION,
    servers: [],
    revision: 0,
  };
}

interface RunningTasks {
  tasks: Map<string, UsageTask>;
  /** Publishes these nodes as the members, on the bus of each of them. */
  publishMembers(ids: readonly string[]): void;
}

/** Starts tasks and delivers their messages as the transport does. */
function startTasks(log: LogClient, ids: readonly string[]): RunningTasks {
  const buses = new Map(ids.map(id => [id, new Bus()]));
  const tasks = new Map<string, UsageTask>();
  const clock = new SystemClock();
  const random = new SeededRandom(1);
  for (const [nodeId, bus] of buses) {
    const peer = {nodeId, incarnation: 1, dataCentre: 'd', region: REGION};
    bus.subscribe('send-peer', ({nodeId: to, message}) => {
      buses.get(to)?.publishPeerMessage(peer, message);
    });
    const identity = {nodeId, region: REGION, incarnation: 1};
    const parts = {log, bus, clock, random};
    const task = new UsageTask(identity, parts, TIMINGS);
    task.start();
    tasks.set(nodeId, task);
    bus.publish('config-in-force', configuration());
  }
  const publishMembers = (nodeIds: readonly string[]) => {
    const members = nodeIds.map(memberOf);
    for (const id of nodeIds) buses.get(id)?.publish('view-changed', {members});
  };
  publishMembers(ids);
  return {tasks, publishMembers};
}

function configuration(): Topics['config-in-force'] {
  const customer = {
    key: 'nyota/customer/c' as const,
    team: 'nyota',
    kind: 'customer' as const,
    name: 'c',
    spec: {prepaidCalls: PREPAID},
  };
  const empty = emptyConfigState();
  const resources = empty.resources.set(customer.key, customer);
  return {
    state: {...empty, resources},
    table: RoutingTable.build(resources),
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let i = 0; i < POLL_LIMIT && !condition(); i++) await delay(1);
  expect(condition()).to.equal(true);
}

describe('UsageTask', () => {
  const ids = ['n1', 'n2', 'n3'];
  let log: FakeLog;
  let running: RunningTasks;

  beforeEach(() => {
    log = new FakeLog();
    running = startTasks(log, ids);
  });

  afterEach(() => {
    for (const task of running.tasks.values()) task.stop();
  });

  /** Counts calls at these nodes, in rotation. */
  function count(nodeIds: readonly string[], calls: number): void {
    for (let i = 0; i < calls; i++) {
      running.tasks.get(nodeIds[i % nodeIds.length]!)!.count('c');
    }
  }

  function countAllowing(nodeIds: readonly string[], customer = 'c'): number {
    const allows = (id: string) => running.tasks.get(id)!.allows(customer);
    return nodeIds.filter(allows).length;
  }

  /** Number of calls according to the records of the log alone. */
  function loggedCalls(): number {
    const highest = new Map<string, number>();
    for (const body of log.bodies) {
      const {rows = []} = JSON.parse(body) as {
        rows?: {nodeId: string; calls: Record<string, number>}[];
      };
      for (const {nodeId, calls} of rows) highest.set(nodeId, calls['c'] ?? 0);
    }
    return [...highest.values()].reduce((sum, calls) => sum + calls, 0);
  }

  it('refuses at every node once the balance is used up', async () => {
    count(ids, PREPAID - 1);
    await waitUntil(() => loggedCalls() === PREPAID - 1);
    expect(countAllowing(ids)).to.equal(3);
    count(ids, 1);
    await waitUntil(() => countAllowing(ids) === 0);
    expect(countAllowing(ids, 'other')).to.equal(3);
  });

  it('allows calls while the log is down, and refuses them afterwards', async () => {
    log.isDown = true;
    count(ids, 2 * PREPAID);
    await waitUntil(() => log.failures > 10);
    expect(countAllowing(ids)).to.equal(3);
    log.isDown = false;
    await waitUntil(() => countAllowing(ids) === 0);
  });

  it('continues counting at another collector after the first one stops', async () => {
    count(ids, PREPAID / 2);
    await waitUntil(() => loggedCalls() === PREPAID / 2);
    const collector = selectUsageCollector(REGION, ids)!;
    running.tasks.get(collector)!.stop();
    const remaining = ids.filter(id => id !== collector);
    running.publishMembers(remaining);
    count(remaining, PREPAID / 2);
    await waitUntil(() => countAllowing(remaining) === 0);
  });
});
