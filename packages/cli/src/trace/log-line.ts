/** Lines of the nodes' logs: one JSON object each. */

import type {SourceFile} from '@turmericmill/config';
import type {Finding} from '@turmericmill/utils';

/** Fields that every line has and that say nothing about a request. */
const FRAME_FIELDS: ReadonlySet<string> = new Set([
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

export interface LogLine {
  nodeId: string;
  /** Time of day at the node, which may differ between hosts. */
  timeMs: number;
  event: string;
  requestId?: string;
  /** What was decided, and by which inputs. */
  details: Record<string, unknown>;
}

/** The lines of log files, and those that cannot be read. */
export interface ParsedLog {
  lines: LogLine[];
  findings: Finding[];
}

/** Reads log files; output of other programs between the lines is skipped. */
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

/** The line, or what is wrong with it. */
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
  if (typeof msg !== 'string') return 'names no event';
  const details = Object.fromEntries(
    Object.entries(fields).filter(([name]) => !FRAME_FIELDS.has(name)),
  );
  return {
    nodeId: typeof nodeId === 'string' ? nodeId : '',
    timeMs,
    event: msg,
    ...(typeof requestId === 'string' && {requestId}),
    details,
  };
}
