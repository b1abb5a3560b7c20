/** The context of a command line that runs as a process. */

import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';

import {HttpLogClient} from '@turmericmill/platform';
import {SystemClock, SystemRandom} from '@turmericmill/utils';

import {HttpAdminClient} from './admin/http-admin-client.js';
import type {CliContext} from './cli-context.js';
import {DiskFileReader} from './disk-file-reader.js';

/** Builds the context from the process's streams and environment. */
export function createProcessContext(): CliContext {
  const opened: {close(): Promise<void>}[] = [];
  const track = <T extends {close(): Promise<void>}>(client: T): T => {
    opened.push(client);
    return client;
  };
  return {
    writer: {
      out: line => void process.stdout.write(`${line}\n`),
      err: line => void process.stderr.write(`${line}\n`),
    },
    files: new DiskFileReader(),
    env: process.env,
    clock: new SystemClock(),
    random: new SystemRandom(),
    sleep: async ms => {
      await sleep(ms);
    },
    newId: randomUUID,
    openLog: target => track(new HttpLogClient(target)),
    openAdmin: target => track(new HttpAdminClient(target)),
    close: async () => {
      await Promise.all(opened.map(client => client.close()));
    },
  };
}
