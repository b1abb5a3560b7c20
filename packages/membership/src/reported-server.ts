/**
 * The backend server of a node, according to its own reports. Reports may
 * be late, repeated or from an earlier start. A server that has reported that
 * it leaves never receives new calls again in the same start.
 */

/** Identifies one start of a server. */
export interface ServerStart {
  serverId: string;
  /** Orders the starts of all servers at one address; 0 if not reported. */
  bornMs: number;
}

/** A heartbeat from one start of a server. */
export interface ServerReport {
  serverId: string;
  service: string;
  /** Version of the server's program; absent if it is not known. */
  version?: string;
  slots: number;
  state: 'ready' | 'draining';
  /** Remaining time in ms for which the server is still warming up. */
  remainingWarmupMs: number;
  /** Increases with each report of the same start. */
  sequence: number;
  /** Orders the starts of all servers at one address; 0 if not reported. */
  bornMs: number;
}

/** `leaving`: the server accepts no new calls; running ones continue. */
export type ReportedState = 'ready' | 'leaving';

/** The newest reported start of the server, with its latest state. */
export interface CurrentServer {
  serverId: string;
  service: string;
  /** Version of the server's program; absent if it is not known. */
  version?: string;
  slots: number;
  bornMs: number;
  sequence: number;
  state: ReportedState;
  /** Time in ms at which the warm-up of the server ends. */
  warmUntilMs: number;
}

/** Effect of a report; `stale`: the current server is unchanged. */
export type ReportChange = 'started' | 'updated' | 'leaving' | 'stale';

/** Maximum number of departed starts kept; more than are reported late. */
const MAX_DEPARTED = 16;
/**
 * Time in ms for which late reports are expected after a departure or a restart
 * of the node. Reports may be several seconds late.
 */
export const LATE_REPORT_WINDOW_MS = 10_000;
/**
 * Difference in ms between two estimates of the end of a warm-up up to which
 * the first one is kept: reports are delayed by different times.
 */
const WARMUP_TOLERANCE_MS = 300;
/** Most that the clock of a server may be ahead of this node's, in ms. */
const MAX_CLOCK_SKEW_MS = 60 * 60 * 1000;
/** Maximum sequence number of the first report of a start. */
const FIRST_SEQUENCE = 1;

export class ReportedServer {
  private server: CurrentServer | undefined;
  /** Departed starts by key, oldest first. */
  private readonly departed = new Map<string, ServerStart>();
  /** Number of departures that have been reported. */
  private departureCount = 0;
  /** The latest departure, without `bornMs`, of a server not yet reported. */
  private unknownDeparture: {serverId: string; untilMs: number} | undefined;

  /** The newest start that has reported; undefined before the first report. */
  get current(): CurrentServer | undefined {
    return this.server;
  }

  /** Number of departures that have been reported to this node. */
  get departures(): number {
    return this.departureCount;
  }

  /** Starts that have departed, oldest first. */
  get departedStarts(): ServerStart[] {
    const starts = [...this.departed.values()];
    const {server} = this;
    const isLeaving = server?.state === 'leaving';
    if (!isLeaving || this.departed.has(startKey(server))) return starts;
    const {serverId, bornMs} = server;
    return [...starts, {serverId, bornMs}];
  }

  /** Applies departures that this node knew before its own restart. */
  restoreDeparted(starts: readonly ServerStart[]): void {
    const count = this.departureCount;
    for (const start of starts) this.recordDeparted(start);
    this.departureCount = count;
    const {server} = this;
    if (server && this.departed.has(startKey(server))) {
      this.server = {...server, state: 'leaving'};
    }
  }

  /** Applies a heartbeat. */
  applyReport(report: ServerReport, nowMs: number): ReportChange {
    const {server} = this;
    if (report.bornMs > nowMs + MAX_CLOCK_SKEW_MS) return 'stale';
    if (this.isLateReport(report, nowMs)) this.recordDeparted(report);
    if (this.departed.has(startKey(report))) return 'stale';
    if (server && isSameStart(server, report)) {
      if (report.sequence <= server.sequence) return 'stale';
      return this.update(server, report, nowMs);
    }
    if (server && report.bornMs < server.bornMs) return 'stale';
    this.server = {
      ...startOf(report),
      warmUntilMs: nowMs + report.remainingWarmupMs,
    };
    if (report.state === 'draining') this.recordDeparted(this.server);
    return 'started';
  }

  /**
   * Applies the departure of a server. Without `bornMs`, it applies to the
   * current start of the server.
   */
  applyDeparture(
    serverId: string,
    bornMs: number | undefined,
    nowMs: number,
  ): ReportChange {
    const {server} = this;
    const isCurrent =
      server?.serverId === serverId &&
      (bornMs === undefined || bornMs === server.bornMs);
    if (!server || !isCurrent) {
      if (bornMs !== undefined) this.recordDeparted({serverId, bornMs});
      else if (server?.serverId !== serverId) {
        const untilMs = nowMs + LATE_REPORT_WINDOW_MS;
        this.unknownDeparture = {serverId, untilMs};
      }
      return 'stale';
    }
    this.recordDeparted(server);
    if (server.state === 'leaving') return 'stale';
    this.server = {...server, state: 'leaving'};
    return 'leaving';
  }

  /**
   * True for a late report of a start that departed before its first report. A
   * later start with the same id begins with a new sequence.
   */
  private isLateReport(report: ServerReport, nowMs: number): boolean {
    const departure = this.unknownDeparture;
    if (departure?.serverId !== report.serverId) return false;
    return nowMs < departure.untilMs && report.sequence > FIRST_SEQUENCE;
  }

  private update(
    server: CurrentServer,
    report: ServerReport,
    nowMs: number,
  ): ReportChange {
    const isLeaving = report.state === 'draining' && server.state === 'ready';
    if (isLeaving) this.departureCount += 1;
    this.server = {
      ...startOf(report),
      state: isLeaving ? 'leaving' : server.state,
      warmUntilMs: updatedWarmUntilMs(server, report, nowMs),
    };
    return isLeaving ? 'leaving' : 'updated';
  }

  private recordDeparted({serverId, bornMs}: ServerStart): void {
    const key = startKey({serverId, bornMs});
    if (!this.departed.has(key)) this.departureCount += 1;
    this.departed.set(key, {serverId, bornMs});
    if (this.departed.size <= MAX_DEPARTED) return;
    const [oldest] = this.departed.keys();
    if (oldest !== undefined) this.departed.delete(oldest);
  }
}

/**
 * The end of a server's warm-up after a further report. It does not change with
 * each report, as each change is sent to all nodes.
 */
function updatedWarmUntilMs(
  {warmUntilMs}: CurrentServer,
  {remainingWarmupMs}: ServerReport,
  nowMs: number,
): number {
  if (remainingWarmupMs === 0) return Math.min(warmUntilMs, nowMs);
  const estimateMs = nowMs + remainingWarmupMs;
  const isSame = Math.abs(estimateMs - warmUntilMs) <= WARMUP_TOLERANCE_MS;
  return isSame ? warmUntilMs : estimateMs;
}

/** Identifies a start in a map. */
export function startKey({serverId, bornMs}: ServerStart): string {
  return `${serverId}@${bornMs}`;
}

function isSameStart(server: CurrentServer, report: ServerReport): boolean {
  return server.serverId === report.serverId && server.bornMs === report.bornMs;
}

function startOf(report: ServerReport): Omit<CurrentServer, 'warmUntilMs'> {
  const {serverId, service, version, slots, bornMs, sequence} = report;
  const state = report.state === 'draining' ? 'leaving' : 'ready';
  const known = version === undefined ? {} : {version};
  return {serverId, service, ...known, slots, bornMs, sequence, state};
}
