/**
 * Entry point of the bundled sidecar node, itself built as CommonJS, which
 * starts sooner. Runs the bundle beside it with V8's code cache, so that a start
 * does not parse and compile all code again.
 *
 * With the argument `--write-code-cache`, it compiles the bundle and writes the
 * cache instead. V8 accepts the cache only with the same version and flags.
 */

import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {createRequire, isBuiltin} from 'node:module';
import {join} from 'node:path';
import {Script} from 'node:vm';

const TARGET = import.meta.dirname;
const BUNDLE = join(TARGET, 'sidecar.cjs');
const CODE_CACHE = join(TARGET, 'sidecar.code-cache');

/** Returns a script that evaluates to the function of a CommonJS module. */
function compileBundle(cachedData) {
  // The bundle is ASCII.
  const source = readFileSync(BUNDLE, 'latin1').replace(/^#!/, '//');
  const parameters = 'exports, require, module, __filename, __dirname';
  return new Script(`(function (${parameters}) {${source}\n})`, {
    filename: BUNDLE,
    cachedData,
  });
}

/** Compiles all functions, also those that V8 would compile at first use. */
async function writeCodeCache() {
  // Loaded here only, as it takes several ms of a start.
  const {setFlagsFromString} = await import('node:v8');
  setFlagsFromString('--no-lazy');
  const script = compileBundle();
  setFlagsFromString('--lazy');
  writeFileSync(CODE_CACHE, script.createCachedData());
}

function runBundle() {
  const cachedData = existsSync(CODE_CACHE)
    ? readFileSync(CODE_CACHE)
    : undefined;
  const script = compileBundle(cachedData);
  if (!cachedData || script.cachedDataRejected) {
    process.stderr.write('The code cache is missing or of another version.\n');
  }
  const nodeRequire = createRequire(BUNDLE);
  // Libraries try to load optional packages, which the bundle does not have.
  const requireBuiltin = id => {
    if (!isBuiltin(id)) throw new Error(`The bundle has no package ${id}.`);
    return nodeRequire(id);
  };
  const bundle = {exports: {}};
  const run = script.runInThisContext();
  run(bundle.exports, requireBuiltin, bundle, BUNDLE, TARGET);
}

if (process.argv.includes('--write-code-cache')) void writeCodeCache();
else runBundle();
