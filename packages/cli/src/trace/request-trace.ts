/** Collects the log lines of several nodes that concern one request. */

import type {LogLine} from './log-line.js';

/** How far the context reaches back from a line of the request. */
const CONTEXT_WINDOW_MS = 5_000;
/** The event logged when a node starts to route by a new version. */
const VERSION_EVENT = 'configuration in force';

/** A line of the request, or a context line about the state of its node. */
export interface TraceEntry extends LogLine {
  isContext: boolean;
}

/**
 * Returns the lines of the request and their context, ordered by time. The
 * context of a line consists of lines of the same node without a request id:
 * those of the last `CONTEXT_WINDOW_MS`, and the one that names the version in
 * force, however old it is.
 */
export function traceRequest(
  lines: readonly LogLine[],
  requestId: string,
): TraceEntry[] {
  const requestLines = lines.filter(line => line.requestId === requestId);
  const context = new Set(
    requestLines.flatMap(line => findContext(line, lines)),
  );
  const entries = [
    ...requestLines.map(line => ({...line, isContext: false})),
    ...[...context].map(line => ({...line, isContext: true})),
  ];
  return entries.sort((a, b) => a.timeMs - b.timeMs);
}

function findContext(
  requestLine: LogLine,
  lines: readonly LogLine[],
): LogLine[] {
  const before = lines.filter(
    ({nodeId, requestId, timeMs}) =>
      nodeId === requestLine.nodeId &&
      requestId === undefined &&
      timeMs <= requestLine.timeMs,
  );
  const recent = before.filter(
    ({timeMs}) => timeMs > requestLine.timeMs - CONTEXT_WINDOW_MS,
  );
  const version = before.filter(({event}) => event === VERSION_EVENT).at(-1);
  return version && !recent.includes(version) ? [version, ...recent] : recent;
}
