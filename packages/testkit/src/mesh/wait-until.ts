/** Waits for conditions of a mesh. */

const POLL_INTERVAL_MS = 10;

/**
 * Polls a condition; resolves with the elapsed time in ms when it is met, or
 * with undefined when it is not met within `timeoutMs`.
 */
export async function waitUntil(
  condition: () => Promise<boolean>,
  timeoutMs: number,
): Promise<number | undefined> {
  const startedMs = performance.now();
  for (;;) {
    const isMet = await condition();
    const elapsedMs = performance.now() - startedMs;
    if (isMet) return elapsedMs;
    if (elapsedMs > timeoutMs) return undefined;
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
