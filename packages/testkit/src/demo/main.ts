/** `npm start`: shows a small mesh at work and checks what it did. */

import {renderClosingTable} from './closing-table.js';
import {Demo} from './demo.js';

/** The demonstration fails when it takes longer. */
const TIME_LIMIT_MS = 60_000;

const print = (line: string) => void process.stdout.write(`${line}\n`);

const timer = setTimeout(() => {
  process.stderr.write('The demonstration took too long.\n');
  process.exit(1);
}, TIME_LIMIT_MS);

try {
  const rows = await new Demo(print).run();
  print(renderClosingTable(rows));
  const failures = rows.filter(row => !row.holds).length;
  print(failures === 0 ? '\nEvery check holds.' : `\n${failures} checks fail.`);
  process.exitCode = failures === 0 ? 0 : 1;
} catch (err) {
  process.stderr.write(`${String(err)}\n`);
  process.exitCode = 1;
} finally {
  clearTimeout(timer);
}
