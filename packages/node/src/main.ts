#!/usr/bin/env node
/** The node binary: `turmericmill-node --settings node.json`. */

import {readFileSync} from 'node:fs';

import {formatFinding} from '@turmericmill/utils';
import bunyan from 'bunyan';
import meow from 'meow';

import {Node} from './node.js';
import {parseSettings} from './settings/index.js';

const EXIT_INVALID_SETTINGS = 1;
const EXIT_USAGE = 2;

const cli = meow(
  `
  Usage
    $ turmericmill-node --settings FILE

  Runs one node beside a backend server until SIGTERM.

  Examples
    $ turmericmill-node --settings node.json
`,
  {
    importMeta: import.meta,
    flags: {settings: {type: 'string', isRequired: true}},
  },
);

async function main(file: string): Promise<void> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (err) {
    process.stderr.write(`${String(err)}\n`);
    process.exit(EXIT_USAGE);
  }
  const settings = parseSettings(file, text);
  if (settings.isErr()) {
    const lines = settings.error.map(formatFinding);
    process.stderr.write(`${lines.join('\n')}\n`);
    process.exit(EXIT_INVALID_SETTINGS);
  }
  const {nodeId, logLevel} = settings.value;
  const logger = bunyan.createLogger({
    name: 'turmericmill-node',
    level: logLevel,
    nodeId,
  });
  const node = new Node(settings.value, logger);
  const ports = await node.start();
  logger.info({ports}, 'ready');
  process.once('SIGTERM', () => {
    logger.info('stopping');
    void node.stop().then(() => {
      logger.info('stopped');
      process.exit(0);
    });
  });
}

await main(cli.flags.settings);
