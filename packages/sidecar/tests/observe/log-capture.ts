/** Captures log lines for tests. */

import bunyan from 'bunyan';

export function captureLog(): {
  logger: bunyan;
  lines: Record<string, unknown>[];
} {
  const lines: Record<string, unknown>[] = [];
  const stream = {
    write: (text: string) => {
      lines.push(JSON.parse(text) as Record<string, unknown>);
    },
  };
  const logger = bunyan.createLogger({name: 'test', stream: stream as never});
  return {logger, lines};
}
