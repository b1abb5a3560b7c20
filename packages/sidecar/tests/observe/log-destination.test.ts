import {execFileSync} from 'node:child_process';
import {constants, mkdtempSync, openSync, readSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {expect} from 'chai';

import {LogDestination} from '../../src/observe/log-destination.js';

const LINE = `${'x'.repeat(1023)}\n`;
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Reads the first line; it may not be written yet, as writes are async. */
async function firstRead(fd: number): Promise<string> {
  const line = Buffer.alloc(LINE.length);
  for (;;) {
    try {
      readSync(fd, line);
      return line.toString();
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code !== 'EAGAIN') throw err;
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  }
}

describe('LogDestination', () => {
  it('drops lines without blocking when the reader has stopped', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'turmericmill-'));
    const path = join(folder, 'pipe');
    execFileSync('mkfifo', [path]);
    // Both ends are open and nothing reads, so that the pipe fills at 64 KiB.
    const flags = constants.O_RDWR | constants.O_NONBLOCK;
    const fd = openSync(path, flags);
    const destination = new LogDestination(fd, MAX_BUFFERED_BYTES);
    const startedMs = performance.now();
    for (let i = 0; i < 1000; i++) {
      destination.stream.write(LINE);
      if (i % 100 === 0) await new Promise(resolve => setImmediate(resolve));
    }
    expect(performance.now() - startedMs).to.be.below(500);
    expect(destination.dropped).to.be.above(500);
    expect(await firstRead(fd)).to.equal(LINE);
    destination.close();
    rmSync(folder, {recursive: true});
  });
});
