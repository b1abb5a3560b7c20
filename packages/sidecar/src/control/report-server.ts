/** HTTP server that receives the reports of the backend server. */

import type {IncomingMessage, ServerResponse} from 'node:http';

import {
  ReportedServer,
  RestartGuard,
  type CurrentServer,
  type ServerStart,
} from '@turmericmill/membership';
import {readText} from '@turmericmill/node';
import {
  formatFindings,
  MAX_REPORT_BYTES,
  parseDeparture,
  parseHeartbeat,
  parseReportPath,
  type FieldFinding,
  type HostAddress,
  type ReportPath,
  type ServerHeartbeat,
} from '@turmericmill/platform-adapter';
import {Err, Ok, sleep, type Clock, type Result} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {HttpTask} from '../tasks/http-task.js';

/** Time in ms within which a report has to arrive completely. */
const REQUEST_TIMEOUT_MS = 2_000;
/**
 * Time in ms after the start of the node in which its earlier departures may be
 * read. Reports are late by seconds at most.
 */
const MAX_RESTORE_MS = 3_000;
/**
 * Time in ms for which an acknowledgement waits until a departure is stored;
 * servers wait for a second.
 */
const MAX_SAVE_MS = 300;
/** Base and cap in ms of the delay between health checks of a server. */
const HEALTH_RETRY_BASE_MS = 200;
const HEALTH_RETRY_CAP_MS = 1_000;

interface Reply {
  status: number;
  body: object;
}

export interface ReportServerParts {
  listen: HostAddress;
  clock: Clock;
  logger: Logger;
  /** True if no process of this node has run before. */
  isFirstStart: boolean;
  /** True if a server may belong to the service. */
  isServiceKnown(name: string): boolean;
  /** Called with the server after each change. */
  onServer(server: CurrentServer): void;
  /** Resolves with true if the server states that it is not leaving. */
  isHealthy(server: CurrentServer): Promise<boolean>;
  /** Resolves with true once the starts are stored beyond this process. */
  saveDeparted(departed: readonly ServerStart[]): Promise<boolean>;
}

/**
 * Acknowledges a report once it is in effect on this node. After a restart of
 * the node, the server is used only once it has stated that it is not leaving:
 * the process before may have acknowledged that it leaves, and late reports
 * would bring it back.
 */
export class ReportServer extends HttpTask {
  private readonly reported = new ReportedServer();
  private readonly guard: RestartGuard;
  /** Number of departures that have been handed over to be stored. */
  private savedDepartures = 0;
  private isRestored = false;
  private restoreTimer: NodeJS.Timeout | undefined;
  private isCheckingHealth = false;
  private stopped = false;

  constructor(private readonly parts: ReportServerParts) {
    super(parts.listen);
    this.guard = new RestartGuard(parts.clock.now(), parts.isFirstStart);
    this.server.requestTimeout = REQUEST_TIMEOUT_MS;
    this.server.headersTimeout = REQUEST_TIMEOUT_MS;
  }

  override async start(): Promise<void> {
    await super.start();
    this.restoreTimer = setTimeout(() => {
      this.parts.logger.warn(
        {afterMs: MAX_RESTORE_MS},
        'departures not read from the store in time',
      );
      this.restoreDeparted([]);
    }, MAX_RESTORE_MS);
  }

  override async stop(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.restoreTimer);
    await super.stop();
  }

  /** Applies the departures known before the start of this node. */
  restoreDeparted(departed: readonly ServerStart[]): void {
    clearTimeout(this.restoreTimer);
    this.isRestored = true;
    this.reported.restoreDeparted(departed);
    this.publish();
  }

  private publish(): void {
    const {current} = this.reported;
    if (!current || !this.isRestored || this.uncleared) return;
    this.parts.onServer(current);
  }

  /**
   * The current server, if only the restart guard keeps it from being used. One
   * that leaves is passed on in any case.
   */
  private get uncleared(): CurrentServer | undefined {
    const {current} = this.reported;
    if (current?.state !== 'ready' || this.guard.isCleared(current)) {
      return undefined;
    }
    return current;
  }

  /**
   * Asks the server whether it is leaving until it may be used. Later, its next
   * report is enough.
   */
  private async checkHealth(): Promise<void> {
    const {clock, logger, isHealthy} = this.parts;
    for (let delayMs = HEALTH_RETRY_BASE_MS; !this.stopped; delayMs *= 2) {
      const server = this.uncleared;
      if (!server || clock.now() >= this.guard.lateReportsUntilMs) break;
      if (await isHealthy(server)) {
        this.guard.recordHealthy(server);
        logger.info({server}, 'server healthy after a restart of its node');
        this.publish();
        continue;
      }
      await sleep(Math.min(delayMs, HEALTH_RETRY_CAP_MS));
    }
  }

  protected override async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const path = parseReportPath(req.url ?? '');
    if (!path) {
      send(res, {status: 404, body: {error: 'This path takes no report.'}});
      return;
    }
    if (req.method !== 'POST') {
      send(res, {
        status: 405,
        body: {error: 'Reports have to be sent with POST.'},
      });
      return;
    }
    try {
      const text = await readText(req, MAX_REPORT_BYTES);
      send(res, await this.handleReport(path, text));
    } catch (err) {
      this.parts.logger.debug({err}, 'report not received; connection closed');
      res.destroy();
    }
  }

  private async handleReport(
    {serverId, type}: ReportPath,
    text: string,
  ): Promise<Reply> {
    const {clock, logger} = this.parts;
    const change =
      type === 'heartbeat'
        ? parseHeartbeat(serverId, text)
            .andThen(report => this.checkService(report))
            .map(report => this.reported.applyReport(report, clock.now()))
        : parseDeparture(serverId, text).map(({bornMs}) =>
            this.reported.applyDeparture(serverId, bornMs, clock.now()),
          );
    if (change.isErr()) {
      const error = formatFindings(change.error);
      logger.warn(
        {serverId, error},
        'malformed report of the backend server refused',
      );
      return {status: 400, body: {error}};
    }
    if (change.value !== 'stale') {
      if (change.value !== 'updated') {
        const {current} = this.reported;
        logger.info({server: current}, `server ${change.value}`);
      }
      this.applyChange();
    }
    await this.saveNewDepartures();
    return {status: 200, body: {}};
  }

  private applyChange(): void {
    const {clock, logger} = this.parts;
    const {current} = this.reported;
    if (current) this.guard.recordReport(current, clock.now());
    this.publish();
    if (!this.uncleared || this.isCheckingHealth) return;
    this.isCheckingHealth = true;
    this.checkHealth()
      .catch((err: unknown) => {
        logger.error({err}, 'health of the server not checked');
      })
      .finally(() => {
        this.isCheckingHealth = false;
      });
  }

  /**
   * Refuses a report of another writer, which would replace the server of this
   * host. A server whose service was removed may still report that it leaves.
   */
  private checkService(
    report: ServerHeartbeat,
  ): Result<ServerHeartbeat, FieldFinding[]> {
    const {serverId, service} = report;
    const {current} = this.reported;
    const isCurrent =
      current?.serverId === serverId && current.service === service;
    if (isCurrent || this.parts.isServiceKnown(service)) return Ok(report);
    return Err([{path: 'service', message: `"${service}" is not known`}]);
  }

  /** Stores departures, but does not delay the acknowledgement for long. */
  private async saveNewDepartures(): Promise<void> {
    const {departures} = this.reported;
    if (departures === this.savedDepartures) return;
    this.savedDepartures = departures;
    const {saveDeparted, logger} = this.parts;
    const departed = this.reported.departedStarts;
    const saved = saveDeparted(departed);
    const isStored = await Promise.race([saved, sleep(MAX_SAVE_MS)]);
    if (isStored === true) logger.info({departed}, 'departures stored');
    else logger.warn({departed}, 'departures acknowledged before stored');
  }
}

function send(res: ServerResponse, {status, body}: Reply): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
