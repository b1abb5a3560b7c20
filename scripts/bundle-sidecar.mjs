/** Bundles the sidecar node for the platform's hosts as one file in `target/`. */

import {cpSync, mkdirSync, readdirSync} from 'node:fs';
import {basename, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {build} from 'esbuild';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const TARGET = join(ROOT, 'target');

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

mkdirSync(TARGET, {recursive: true});
copyCharts();
await build({
  absWorkingDir: ROOT,
  entryPoints: ['packages/sidecar/src/main.ts'],
  outfile: join(TARGET, 'turmericmill.mjs'),
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  conditions: ['source'],
  minifySyntax: true,
  // Bundled CommonJS libraries call `require`, which ES modules do not define.
  banner: {
    js: "import {createRequire as makeRequire} from 'node:module'; const require = makeRequire(import.meta.url);",
  },
  external: ['dtrace-provider', 'mv', 'source-map-support'],
});
