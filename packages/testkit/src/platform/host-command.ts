/** How `deploy/system.toml` runs the node on the platform's hosts. */

import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

const ROOT = new URL('../../../../../', import.meta.url);
const RUN_PATTERN = /^run = "node (?<flags>.*) (?<program>\S+)"$/m;

export interface HostCommand {
  /** Flags of Node.js. */
  flags: string[];
  /** Path of the program, which `node scripts/bundle-sidecar.mjs` builds. */
  program: string;
}

export function readHostCommand(): HostCommand {
  const deploy = readFileSync(new URL('deploy/system.toml', ROOT), 'utf8');
  const {flags, program} = RUN_PATTERN.exec(deploy)?.groups ?? {};
  if (flags === undefined || program === undefined) {
    throw new Error('deploy/system.toml runs no node');
  }
  return {
    flags: flags.split(' '),
    program: fileURLToPath(new URL(program, ROOT)),
  };
}
