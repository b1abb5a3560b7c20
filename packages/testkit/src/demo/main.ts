/** `npm start`: runs the demonstration and prints its results table. */

import {renderResultsTable} from './results-table.js';
import {Demo} from './demo.js';

const TIME_LIMIT_MS = 60_000;

const print = (line: string) => void process.stdout.write(`${line}\n`);

const timer = setTimeout(() => {
  process.stderr.write('The demonstration exceeded its time limit.\n');
  process.exit(1);
}, TIME_LIMIT_MS);

try {
  const rows = await new Demo(print).run();
  print(renderResultsTable(rows));
  const failures = rows.filter(row => !row.passed).length;
  print(failures === 0 ? '\nEvery check holds.' : `\n${failures} checks fail.`);
  process.exitCode = failures === 0 ? 0 : 1;
} catch (err) {
  process.stderr.write(`${String(err)}\n`);
  process.exitCode = 1;
} finally {
  clearTimeout(timer);
}
