/** What the logs of several nodes tell about one request. */

import type {LogLine} from './log-line.js';

/** Time in ms before a request's line in which its node's changes count. */
const CONTEXT_MS = 5_000;
/** The event that tells by which version a node routes from then on. */
const VERSION_EVENT = 'configuration in force';

/** A line of the request, or one that tells what its node believed then. */
export interface TraceEntry extends LogLine {
  isContext: boolean;
}

/**
 * The request's lines and, for each node that wrote one, the version in force
 * and what had changed in the last seconds; in the order of time.
 */
export function traceRequest(
  lines: readonly LogLine[],
  requestId: string,
): TraceEntry[] {
  const own = lines.filter(line => line.requestId === requestId);
  const context = new Set(own.flatMap(line => contextOf(line, lines)));
  const entries = [
    ...own.map(line => ({...line, isContext: false})),
    ...[...context].map(line => ({...line, isContext: true})),
  ];
  return entries.sort((a, b) => a.timeMs - b.timeMs);
}

function contextOf(own: LogLine, lines: readonly LogLine[]): LogLine[] {
  const before = lines.filter(
    ({nodeId, requestId, timeMs}) =>
      nodeId === own.nodeId && requestId === undefined && timeMs <= own.timeMs,
  );
  const recent = before.filter(({timeMs}) => timeMs > own.timeMs - CONTEXT_MS);
  const version = before.filter(({event}) => event === VERSION_EVENT).at(-1);
  return version && !recent.includes(version) ? [version, ...recent] : recent;
}
