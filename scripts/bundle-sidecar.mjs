/**
 * Bundles the sidecar node for the platform's hosts in `target/`: the code as
 * one file, the state charts that it reads, its code cache and the loader.
 */

import {execFileSync} from 'node:child_process';
import {cpSync, mkdirSync, readdirSync, readFileSync} from 'node:fs';
import {basename, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {build} from 'esbuild';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const TARGET = join(ROOT, 'target');
const LOADER = join(TARGET, 'turmericmill.cjs');

/**
 * Files of libraries that the node does not use, and that load much of Node.js:
 * processes of a cluster, a push gateway over HTTPS and the default metrics.
 */
const UNUSED_FILES =
  /prom-client[\\/]lib[\\/](cluster|pushgateway|defaultMetrics)\.js$/;

/** Replaces unused files by an empty module. */
const omitUnusedFiles = {
  name: 'omit-unused-files',
  setup({onLoad}) {
    onLoad({filter: UNUSED_FILES}, () => ({contents: 'module.exports = {};'}));
  },
};

/** Copies the state charts, which the bundle reads from its folder at run time. */
function copyCharts() {
  const packages = join(ROOT, 'packages');
  for (const entry of readdirSync(packages, {recursive: true})) {
    const path = String(entry);
    const isSource = path.includes('/src/') && !path.includes('/dist/');
    if (!isSource || !path.endsWith('.chart.json')) continue;
    cpSync(join(packages, path), join(TARGET, basename(path)));
  }
}

/** Flags of Node.js on the hosts; the code cache is valid only with these. */
function flagsOnHosts() {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, flags] = /^run = "node (.*) \S+"$/m.exec(deploy) ?? [];
  if (flags === undefined) throw new Error('deploy/system.toml runs no node');
  return flags.split(' ');
}

mkdirSync(TARGET, {recursive: true});
copyCharts();
await build({
  absWorkingDir: ROOT,
  entryPoints: ['packages/sidecar/src/main.ts'],
  outfile: join(TARGET, 'sidecar.cjs'),
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  conditions: ['source'],
  minifySyntax: true,
  plugins: [omitUnusedFiles],
  define: {'import.meta.url': 'bundleUrl'},
  banner: {
    js: "const bundleUrl = require('node:url').pathToFileURL(__filename).href;",
  },
  external: ['cbor-extract', 'dtrace-provider', 'mv', 'source-map-support'],
});
await build({
  absWorkingDir: ROOT,
  entryPoints: ['scripts/sidecar-loader.mjs'],
  outfile: LOADER,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  define: {'import.meta.dirname': '__dirname'},
});
execFileSync(process.execPath, [
  ...flagsOnHosts(),
  LOADER,
  '--write-code-cache',
]);
