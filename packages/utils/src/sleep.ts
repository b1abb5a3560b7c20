/** Waiting in asynchronous code. */

/** Resolves after `ms`. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Resolves once the event loop has read the sockets `count` times. */
export async function waitEventLoopTurns(count: number): Promise<void> {
  for (let turns = 0; turns < count; turns++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** Keeps this process from running anything else for `ms`, for tests. */
export function blockEventLoop(ms: number): void {
  const cell = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(cell, 0, 0, ms);
}
