#!/usr/bin/env node
/** Entry point of the node on the platform's hosts. */

import {SETTINGS_PATH_VARIABLE} from '@turmericmill/platform-adapter';
import bunyan from 'bunyan';

import {LogDestination} from './observe/log-destination.js';
import {readSettingsFile, SettingsFile} from './settings-file.js';
import {Sidecar} from './sidecar.js';

const EXIT_INVALID_SETTINGS = 1;
const EXIT_USAGE = 2;
const EXIT_START_FAILED = 3;

async function main(): Promise<void> {
  const path = process.env[SETTINGS_PATH_VARIABLE];
  if (path === undefined) {
    process.stderr.write(`${SETTINGS_PATH_VARIABLE} names no settings file.\n`);
    process.exit(EXIT_USAGE);
  }
  const read = readSettingsFile(path);
  if (read.isErr()) {
    process.stderr.write(`${read.error}\n`);
    process.exit(EXIT_INVALID_SETTINGS);
  }
  const {text, settings} = read.value;
  const destination = new LogDestination();
  const logger = bunyan.createLogger({
    name: 'turmericmill-sidecar',
    nodeId: settings.nodeId,
    stream: destination.stream,
    serializers: {err: bunyan.stdSerializers.err},
  });
  process.once('exit', () => destination.flush());
  const sidecar = new Sidecar(settings, logger, destination);
  const file = new SettingsFile(path, text, logger, changed => {
    sidecar.reload(changed);
  });
  process.on('SIGHUP', () => file.reload());
  // With `once`, a second signal would end the process immediately.
  process.on('SIGTERM', () => void stop(sidecar, file));
  process.on('SIGINT', () => void stop(sidecar, file));
  try {
    await sidecar.start();
    file.watch();
    logger.info('started');
  } catch (err) {
    logger.fatal({err}, 'cannot start');
    process.exit(EXIT_START_FAILED);
  }
}

async function stop(sidecar: Sidecar, file: SettingsFile): Promise<void> {
  file.close();
  await sidecar.stop();
  process.exit(0);
}

void main();
