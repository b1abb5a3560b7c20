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

/** One stream in memory, which can be down. */
class FakeLog extends LogClient {
  readonly bodies: string[] = [];
  isDown = false;
  refused = 0;

  override async append(
    unusedStream: StreamName,
    body: string,
  ): Promise<Result<Offset, LogError>> {
    await delay(1);
    if (this.isDown) return this.refuse();
    return Ok(this.bodies.push(body) - 1);
  }

  override async read(
    unusedStream: StreamName,
    from: Offset,
    {limit}: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    await delay(1);
    if (this.isDown) return this.refuse();
    const records = this.bodies
      .slice(from, from + limit)
      .map((body, i) => ({offset: from + i, body}));
    return Ok({records, earliest: 0, next: this.bodies.length});
  }

  private refuse(): Result<never, LogError> {
    this.refused += 1;
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

interface Running {
  tasks: Map<string, UsageTask>;
  /** Tells the tasks of these nodes that they are the members. */
  show(ids: readonly string[]): void;
}

/** Tasks whose buses are joined as by the transport. */
function startTasks(log: LogClient, ids: readonly string[]): Running {
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
  const show = (shown: readonly string[]) => {
    const members = shown.map(memberOf);
    for (const id of shown) buses.get(id)?.publish('view-changed', {members});
  };
  show(ids);
  return {tasks, show};
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

async function until(holds: () => boolean): Promise<void> {
  for (let i = 0; i < POLL_LIMIT && !holds(); i++) await delay(1);
  expect(holds()).to.equal(true);
}

describe('usage task', () => {
  const ids = ['n1', 'n2', 'n3'];
  let log: FakeLog;
  let running: Running;

  beforeEach(() => {
    log = new FakeLog();
    running = startTasks(log, ids);
  });

  afterEach(() => {
    for (const task of running.tasks.values()) task.stop();
  });

  /** Counts calls in turn at these nodes. */
  function count(nodeIds: readonly string[], calls: number): void {
    for (let i = 0; i < calls; i++) {
      running.tasks.get(nodeIds[i % nodeIds.length]!)!.count('c');
    }
  }

  function allowing(nodeIds: readonly string[], customer = 'c'): number {
    const allows = (id: string) => running.tasks.get(id)!.allows(customer);
    return nodeIds.filter(allows).length;
  }

  /** The calls that the log shows, by the records alone. */
  function logged(): number {
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
    await until(() => logged() === PREPAID - 1);
    expect(allowing(ids)).to.equal(3);
    count(ids, 1);
    await until(() => allowing(ids) === 0);
    expect(allowing(ids, 'other')).to.equal(3);
  });

  it('serves while the log is down, and refuses afterwards', async () => {
    log.isDown = true;
    count(ids, 2 * PREPAID);
    await until(() => log.refused > 10);
    expect(allowing(ids)).to.equal(3);
    log.isDown = false;
    await until(() => allowing(ids) === 0);
  });

  it('counts on at another collector when the first is gone', async () => {
    count(ids, PREPAID / 2);
    await until(() => logged() === PREPAID / 2);
    const collector = selectUsageCollector(REGION, ids)!;
    running.tasks.get(collector)!.stop();
    const rest = ids.filter(id => id !== collector);
    running.show(rest);
    count(rest, PREPAID / 2);
    await until(() => allowing(rest) === 0);
  });
});
