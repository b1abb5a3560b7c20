#!/usr/bin/env node
/** Command `turmericmill-node --settings node.json`: runs one node. */

import {readFileSync} from 'node:fs';

import {formatFinding} from '@turmericmill/utils';
import bunyan from 'bunyan';
import type Logger from 'bunyan';
import meow from 'meow';

import {Node} from './node.js';
import {parseSettings} from './settings/index.js';

const EXIT_INVALID_SETTINGS = 1;
const EXIT_USAGE = 2;
const EXIT_START_FAILED = 3;

const cli = meow(
  `
  Usage
    $ turmericmill-node --settings FILE [--data-centre NAME]

  Runs one node beside a backend server until SIGTERM.

  Options
    --settings     settings of the node, as JSON
    --data-centre  data centre of this host; settings of another are refused

  Exit codes
    0  ended by SIGTERM
    1  the settings are refused; every finding is written
    2  the settings cannot be read, or the command line is wrong
    3  a socket cannot be opened; the log tells which

  Examples
    $ turmericmill-node --settings node.json
    $ turmericmill-node --settings node.json --data-centre nairobi-a
`,
  {
    importMeta: import.meta,
    flags: {
      settings: {type: 'string', isRequired: true},
      dataCentre: {type: 'string'},
    },
  },
);

async function main(file: string, dataCentre?: string): Promise<void> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (err) {
    process.stderr.write(`${String(err)}\n`);
    process.exit(EXIT_USAGE);
  }
  const settings = parseSettings(
    file,
    text,
    dataCentre === undefined ? {} : {dataCentre},
  );
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
  // Without a listener, a second signal would end the process at once.
  process.on('SIGTERM', () => void stop(node, logger));
  process.on('SIGINT', () => void stop(node, logger));
  try {
    const ports = await node.start();
    logger.info({ports}, 'ready');
  } catch (err) {
    logger.fatal({err}, 'cannot start');
    process.exit(EXIT_START_FAILED);
  }
}

async function stop(node: Node, logger: Logger): Promise<void> {
  logger.info('stopping');
  await node.stop();
  logger.info('stopped');
  process.exit(0);
}

await main(cli.flags.settings, cli.flags.dataCentre);
