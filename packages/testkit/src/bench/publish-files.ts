/** Publishes a file set directly to the log and waits until it is served. */

import {randomUUID} from 'node:crypto';

import {
  diffResources,
  parseFileSet,
  type SourceFile,
} from '@turmericmill/config';
import {
  buildPublication,
  emptyConfigState,
  foldRecord,
  type ConfigState,
} from '@turmericmill/distribution';
import {HttpLogClient} from '@turmericmill/platform';
import {formatFinding} from '@turmericmill/utils';
import {request} from 'undici';

const POLL_INTERVAL_MS = 20;
const SERVED_TIMEOUT_MS = 30_000;
const RECORDS_PER_READ = 1000;

/**
 * Publishes `files` as the whole configuration of `team`. Returns the version.
 */
export async function publishFiles(
  logUrl: string,
  team: string,
  files: SourceFile[],
): Promise<number> {
  const client = new HttpLogClient({urls: [logUrl]});
  try {
    const state = await readState(client);
    const parsed = parseFileSet(team, files, state.resources);
    if (parsed.isErr()) {
      throw new Error(parsed.error.map(formatFinding).join('\n'));
    }
    const bodies = buildPublication({
      id: randomUUID(),
      team,
      author: 'testkit',
      base: state.version,
      writes: diffResources(state.resources, team, parsed.value),
    }).unwrap();
    let offset = state.version;
    for (const body of bodies) {
      offset = (await client.append('config', body)).unwrap();
    }
    return offset;
  } finally {
    await client.close();
  }
}

/** Resolves when GET requests for `path` at all URLs return status 200. */
export async function waitUntilServed(
  urls: readonly string[],
  path: string,
): Promise<void> {
  const deadlineMs = Date.now() + SERVED_TIMEOUT_MS;
  for (const url of urls) {
    while (!(await isServed(`${url}${path}`))) {
      if (Date.now() > deadlineMs) throw new Error(`${url} is not served.`);
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }
}

/** Reads all records of the configuration log. */
async function readState(client: HttpLogClient): Promise<ConfigState> {
  let state = emptyConfigState();
  let nextOffset = 0;
  for (;;) {
    const options = {limit: RECORDS_PER_READ, waitMs: 0};
    const page = (await client.read('config', nextOffset, options)).unwrap();
    for (const record of page.records) {
      state = foldRecord(state, record).state;
      nextOffset = record.offset + 1;
    }
    if (nextOffset >= page.next) return state;
  }
}

async function isServed(url: string): Promise<boolean> {
  const res = await request(url);
  await res.body.dump();
  return res.statusCode === 200;
}
