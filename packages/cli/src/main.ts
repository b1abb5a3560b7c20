#!/usr/bin/env node
/** The operators' command line `turmericmill`. */

import {EXITS} from './exit-code.js';
import {createProcessContext} from './process-context.js';
import {runCli} from './run-cli.js';

const context = createProcessContext();
try {
  process.exitCode = await runCli(process.argv.slice(2), context);
} catch (err) {
  context.writer.err(err instanceof Error ? (err.stack ?? '') : String(err));
  process.exitCode = EXITS.internal.code;
} finally {
  await context.close();
}
