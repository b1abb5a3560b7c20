/** Waits for conditions of a mesh. */

const POLL_INTERVAL_MS = 10;

/**
 * Asks `holds` again and again; resolves with the time in ms that it took, or
 * undefined when it did not hold within `timeoutMs`.
 */
export async function waitUntil(
  holds: () => Promise<boolean>,
  timeoutMs: number,
): Promise<number | undefined> {
  const startedMs = performance.now();
  for (;;) {
    const isMet = await holds();
    const elapsedMs = performance.now() - startedMs;
    if (isMet) return elapsedMs;
    if (elapsedMs > timeoutMs) return undefined;
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
