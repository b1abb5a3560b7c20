/** HTTP server that receives the reports of the backend server. */

import type {IncomingMessage, ServerResponse} from 'node:http';

import {ReportedServer, type CurrentServer} from '@turmericmill/membership';
import {readText} from '@turmericmill/node';
import {
  formatFindings,
  MAX_REPORT_BYTES,
  parseDeparture,
  parseHeartbeat,
  parseReportPath,
  type HostAddress,
  type ReportPath,
} from '@turmericmill/platform-adapter';
import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {HttpTask} from '../tasks/http-task.js';

/** Time in ms within which a report has to arrive completely. */
const REQUEST_TIMEOUT_MS = 2_000;

interface Reply {
  status: number;
  body: object;
}

/** Acknowledges a report once it is in effect on this node. */
export class ReportServer extends HttpTask {
  private readonly reported = new ReportedServer();

  constructor(
    listen: HostAddress,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onServer: (server: CurrentServer) => void,
  ) {
    super(listen);
    this.server.requestTimeout = REQUEST_TIMEOUT_MS;
    this.server.headersTimeout = REQUEST_TIMEOUT_MS;
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
      send(res, this.handleReport(path, text));
    } catch (err) {
      this.logger.debug({err}, 'report not received; connection closed');
      res.destroy();
    }
  }

  private handleReport({serverId, type}: ReportPath, text: string): Reply {
    const change =
      type === 'heartbeat'
        ? parseHeartbeat(serverId, text).map(report =>
            this.reported.applyReport(report, this.clock.now()),
          )
        : parseDeparture(serverId, text).map(({bornMs}) =>
            this.reported.applyDeparture(serverId, bornMs, this.clock.now()),
          );
    if (change.isErr()) {
      const error = formatFindings(change.error);
      this.logger.warn(
        {serverId, error},
        'malformed report of the backend server refused',
      );
      return {status: 400, body: {error}};
    }
    const {current} = this.reported;
    if (current && change.value !== 'stale') {
      if (change.value !== 'updated') {
        this.logger.info({server: current}, `server ${change.value}`);
      }
      this.onServer(current);
    }
    return {status: 200, body: {}};
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
