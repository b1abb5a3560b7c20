/**
 * The backend server beside a node, by its own reports. Reports may be late,
 * repeated or of an earlier start; a server that has said that it leaves never
 * takes work again in the same start.
 */

/** What a report tells of one start of a server. */
export interface ServerReport {
  serverId: string;
  service: string;
  slots: number;
  state: 'ready' | 'draining';
  /** Time in ms for which the server is still slow after its start. */
  warmupMs: number;
  /** Grows with each report of one start. */
  sequence: number;
  /** Orders the starts of all servers at one address; 0 if not told. */
  bornMs: number;
}

/** `leaving`: takes no new work, work in progress goes on. */
export type ReportedState = 'ready' | 'leaving';

/** The server that is there now. */
export interface CurrentServer {
  serverId: string;
  service: string;
  slots: number;
  bornMs: number;
  sequence: number;
  state: ReportedState;
  /** Time in ms until which the server is slow after its start. */
  warmUntilMs: number;
}

/** What a report has changed. */
export type ReportChange = 'started' | 'updated' | 'leaving' | 'stale';

/** Starts that have left and are remembered; more than a host sees in hours. */
const MAX_DEPARTED = 64;
/**
 * Time in ms within which a report may still arrive of a start that has left
 * before this node knew it; reports are seconds late at times.
 */
const LATE_REPORT_MS = 10_000;
/** Greatest number of a start's first report. */
const FIRST_SEQUENCE = 1;

export class ReportedServer {
  private server: CurrentServer | undefined;
  /** Starts that have left, as id and time of birth. */
  private readonly departed = new Set<string>();
  /** The last departure of a server of which nothing else was known. */
  private unknownDeparture: {serverId: string; untilMs: number} | undefined;

  /** The newest start that has reported; undefined before the first. */
  get current(): CurrentServer | undefined {
    return this.server;
  }

  /** Takes in a heartbeat. */
  applyReport(report: ServerReport, nowMs: number): ReportChange {
    const {server} = this;
    if (this.hasDepartedUnknown(report, nowMs)) this.remember(report);
    if (this.departed.has(startKey(report.serverId, report.bornMs))) {
      return 'stale';
    }
    if (server && isSameStart(server, report)) {
      if (report.sequence <= server.sequence) return 'stale';
      return this.update(server, report, nowMs);
    }
    if (server && report.bornMs < server.bornMs) return 'stale';
    this.server = {...startOf(report), warmUntilMs: nowMs + report.warmupMs};
    if (report.state === 'draining') this.remember(this.server);
    return 'started';
  }

  /** A server says that it leaves; `bornMs` undefined: whatever its start. */
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
      if (bornMs !== undefined) this.remember({serverId, bornMs});
      else if (server?.serverId !== serverId) {
        const untilMs = nowMs + LATE_REPORT_MS;
        this.unknownDeparture = {serverId, untilMs};
      }
      return 'stale';
    }
    this.remember(server);
    if (server.state === 'leaving') return 'stale';
    this.server = {...server, state: 'leaving'};
    return 'leaving';
  }

  /** A later start under the same id begins to count its reports anew. */
  private hasDepartedUnknown(report: ServerReport, nowMs: number): boolean {
    const departure = this.unknownDeparture;
    if (departure?.serverId !== report.serverId) return false;
    return nowMs < departure.untilMs && report.sequence > FIRST_SEQUENCE;
  }

  private update(
    server: CurrentServer,
    report: ServerReport,
    nowMs: number,
  ): ReportChange {
    const leaves = report.state === 'draining' && server.state === 'ready';
    this.server = {
      ...startOf(report),
      state: leaves ? 'leaving' : server.state,
      warmUntilMs: nowMs + report.warmupMs,
    };
    return leaves ? 'leaving' : 'updated';
  }

  private remember({serverId, bornMs}: {serverId: string; bornMs: number}) {
    this.departed.add(startKey(serverId, bornMs));
    if (this.departed.size <= MAX_DEPARTED) return;
    const [oldest] = this.departed;
    if (oldest !== undefined) this.departed.delete(oldest);
  }
}

function startKey(serverId: string, bornMs: number): string {
  return `${serverId}@${bornMs}`;
}

function isSameStart(server: CurrentServer, report: ServerReport): boolean {
  return server.serverId === report.serverId && server.bornMs === report.bornMs;
}

function startOf(report: ServerReport): Omit<CurrentServer, 'warmUntilMs'> {
  const {serverId, service, slots, bornMs, sequence} = report;
  const state = report.state === 'draining' ? 'leaving' : 'ready';
  return {serverId, service, slots, bornMs, sequence, state};
}
