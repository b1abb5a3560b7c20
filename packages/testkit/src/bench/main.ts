/** Runs one benchmark by name: `npm run bench -- NAME [--option value]`. */

import {readdirSync} from 'node:fs';
import {parseArgs} from 'node:util';

import type {Bench} from './bench.js';

const FILE_SUFFIX = '-bench.js';

async function loadBench(name: string): Promise<Bench> {
  const module = (await import(`./${name}${FILE_SUFFIX}`)) as {bench: Bench};
  return module.bench;
}

function benchNames(): string[] {
  return readdirSync(new URL('.', import.meta.url))
    .filter(file => file.endsWith(FILE_SUFFIX))
    .map(file => file.slice(0, -FILE_SUFFIX.length));
}

async function printBenches(): Promise<void> {
  for (const name of benchNames()) {
    const {summary} = await loadBench(name);
    process.stdout.write(`${name.padEnd(14)} ${summary}\n`);
  }
}

/** Parses options given as `--name value` or `--name=value`. */
function parseOptions(args: string[]): Record<string, string | undefined> {
  const {tokens} = parseArgs({args, strict: false, tokens: true});
  const options: Record<string, string | undefined> = {};
  let pendingName: string | undefined;
  for (const token of tokens) {
    if (token.kind === 'option') {
      options[token.name] = token.value ?? 'true';
      pendingName = token.value === undefined ? token.name : undefined;
    } else if (token.kind === 'positional' && pendingName) {
      options[pendingName] = token.value;
      pendingName = undefined;
    }
  }
  return options;
}

const [name, ...rest] = process.argv.slice(2);
if (name === undefined || !benchNames().includes(name)) {
  await printBenches();
  process.exitCode = name === undefined ? 0 : 2;
} else {
  const bench = await loadBench(name);
  const figures = await bench.run(parseOptions(rest));
  process.stdout.write(`${JSON.stringify(figures, null, 2)}\n`);
}
