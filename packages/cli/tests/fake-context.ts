/** A context of the command line without processes, disks or sockets. */

import type {SourceFile} from '@turmericmill/config';
import {
  Err,
  ManualClock,
  Ok,
  SeededRandom,
  type Result,
} from '@turmericmill/utils';
import type {LogClient} from '@turmericmill/platform';

import {
  AdminClient,
  runCli,
  type CallStatistics,
  type CliContext,
  type CliError,
  type DrainAnswer,
  type DrainRequest,
  type FleetStatus,
  type ServerList,
  type ServerQuery,
} from '../src/index.js';

/** An administration API with configurable answers. */
export class FakeAdminClient extends AdminClient {
  failure: CliError | undefined;
  readonly drains: [DrainRequest, boolean][] = [];
  /** Answers to calls of `status`, in order; the last one repeats. */
  statuses: FleetStatus[] = [fleetStatus(7, {7: 3})];

  override async status(): Promise<Result<FleetStatus, CliError>> {
    const status = this.statuses[0] as FleetStatus;
    if (this.statuses.length > 1) this.statuses.shift();
    return this.answer(status);
  }

  override async servers(
    query: ServerQuery,
  ): Promise<Result<ServerList, CliError>> {
    const row = {
      node: 'a-1',
      dataCentre: 'nairobi-a',
      server: 's-1',
      group: query.group ?? 'nyota/homeowner-api',
      incarnation: 1,
      state: 'ready',
      nodeStatus: 'alive',
      slots: 12,
      connections: 130,
    };
    return this.answer({total: 4, servers: [row]});
  }

  override async calls(): Promise<Result<CallStatistics, CliError>> {
    const latency = {
      count: 9,
      meanMs: 2,
      p50Ms: 1.5,
      p90Ms: 3,
      p99Ms: 8.25,
      p999Ms: 9,
      maxMs: 9.5,
    };
    const summary = {answered: 9, notRun: 1, unknown: 0, latency};
    const customers = {'customer-1': summary};
    return this.answer({sinceMs: 0, customers, classes: {bulk: summary}});
  }

  override async drain(
    request: DrainRequest,
    draining: boolean,
  ): Promise<Result<DrainAnswer, CliError>> {
    this.drains.push([request, draining]);
    const server = request.server ?? 's-1';
    const state = draining ? 'draining' : 'ready';
    return this.answer({
      node: request.node,
      servers: [{server, state, inFlight: 2}],
    });
  }

  private answer<T>(value: T): Result<T, CliError> {
    return this.failure ? Err(this.failure) : Ok(value);
  }
}

/** Returns the status of one data centre with `versions` in force. */
export function fleetStatus(
  version: number,
  versions: Record<number, number>,
  laggards: string[] = [],
  unreachable: string[] = [],
): FleetStatus {
  const counts = Object.values(versions);
  const nodes = counts.reduce((sum, count) => sum + count, 0);
  const dataCentres = [{dataCentre: 'nairobi-a', nodes, versions}];
  return {version, digest: 'd', dataCentres, laggards, unreachable};
}

/** Runs command lines in memory and returns their output. */
export class CliHarness {
  readonly admin = new FakeAdminClient();
  readonly clock = new ManualClock(1_700_000_000_000);
  readonly files = new Map<string, string>();
  readonly opened: object[] = [];
  env: Record<string, string> = {
    TURMERICMILL_ADMIN: 'http://10.0.0.1:7073',
    TURMERICMILL_LOG: 'http://10.0.0.9:7080',
  };
  log: LogClient | undefined;
  private ids = 0;

  async run(...argv: string[]) {
    const out: string[] = [];
    const err: string[] = [];
    const context: CliContext = {
      writer: {
        out: line => void out.push(line),
        err: line => void err.push(line),
      },
      files: {
        readFileSet: async directory => this.readFileSet(directory),
        readText: async file => this.readText(file),
      },
      env: this.env,
      clock: this.clock,
      random: new SeededRandom(1),
      sleep: async ms => void this.clock.advance(ms),
      newId: () => `publication-${(this.ids += 1)}`,
      openLog: target => {
        this.opened.push(target);
        return this.log as LogClient;
      },
      openAdmin: target => {
        this.opened.push(target);
        return this.admin;
      },
      close: async () => undefined,
    };
    const code = await runCli(argv, context);
    return {code, out: out.join('\n'), err: err.join('\n')};
  }

  private readFileSet(directory: string): Result<SourceFile[], CliError> {
    const names = [...this.files.keys()].filter(name =>
      name.startsWith(`${directory}/`),
    );
    return Ok(
      names.map(file => ({file, text: this.files.get(file) as string})),
    );
  }

  private readText(file: string): Result<string, CliError> {
    const text = this.files.get(file);
    if (text !== undefined) return Ok(text);
    return Err({exit: 'usage', message: `Cannot read ${file}.`});
  }
}
