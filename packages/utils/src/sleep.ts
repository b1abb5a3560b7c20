/** Waiting in asynchronous code. */

/** Resolves after `ms`. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
