/** Parses the logs of nodes: one JSON object per line. */

import type {SourceFile} from '@turmericmill/config';
import type {Finding} from '@turmericmill/utils';

/** Fields that lines have in common; all others are details of the event. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'name',
  'hostname',
  'pid',
  'level',
  'time',
  'v',
  'msg',
  'nodeId',
  'requestId',
]);

/** One log line of a node. */
export interface LogLine {
  nodeId: string;
  /** Time of day at the node; the clocks of hosts may differ. */
  timeMs: number;
  event: string;
  requestId?: string;
  /** The decision and the inputs that it was based on. */
  details: Record<string, unknown>;
}

/** The lines of log files, and findings about lines that are damaged. */
export interface ParsedLog {
  lines: LogLine[];
  findings: Finding[];
}

/**
 * Parses log files. Skips lines without `{`, and text before the first `{` of a
 * line, because other programs may write to the same file.
 */
export function parseLog(files: readonly SourceFile[]): ParsedLog {
  const log: ParsedLog = {lines: [], findings: []};
  for (const {file, text} of files) {
    for (const [index, line] of text.split('\n').entries()) {
      const start = line.indexOf('{');
      if (start < 0) continue;
      const parsed = parseLine(line.slice(start));
      if (typeof parsed === 'object') {
        log.lines.push(parsed);
        continue;
      }
      const place = {file, line: index + 1, column: start + 1};
      log.findings.push({code: 'damaged-line', message: parsed, place});
    }
  }
  return log;
}

/** Returns the parsed line, or a text that says why it is invalid. */
function parseLine(text: string): LogLine | string {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    return err instanceof Error ? err.message : String(err);
  }
  const fields = value as Record<string, unknown>;
  const {nodeId, time, msg, requestId} = fields;
  const timeMs = typeof time === 'string' ? Date.parse(time) : NaN;
  if (!Number.isFinite(timeMs)) return 'has no time';
  if (typeof msg !== 'string') return 'has no event';
  const details = Object.fromEntries(
    Object.entries(fields).filter(([name]) => !COMMON_FIELDS.has(name)),
  );
  return {
    nodeId: typeof nodeId === 'string' ? nodeId : '',
    timeMs,
    event: msg,
    ...(typeof requestId === 'string' && {requestId}),
    details,
  };
}
