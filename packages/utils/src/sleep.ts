/** Delays, and control of the event loop. */

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Resolves after the event loop has processed socket reads `count` times. */
export async function waitEventLoopTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** Blocks the event loop for `ms` milliseconds, for tests. */
export function blockEventLoop(ms: number): void {
  const cell = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(cell, 0, 0, ms);
}
