/** Decides which callers' connections to close when memory is needed. */

/** Time in ms after which bytes taken count less, and twice that not at all. */
const PACE_WINDOW_MS = 1_000;
/**
 * Bytes that each connection counts as having taken, so that one that was just
 * written to does not appear to stand still.
 */
const ASSUMED_BYTES = 64 * 1024;
/** Connections with fewer unsent bytes are never closed to make room. */
const MIN_CLOSED_BYTES = 64 * 1024;

/** Bytes written to one connection and not yet taken by its socket. */
export class Backlog {
  /** Bytes written and not yet taken. */
  bytes = 0;
  private windowStartMs: number;
  private takenBytes = 0;
  private takenBeforeBytes = 0;
  private hasWindowBefore = false;

  constructor(nowMs: number) {
    this.windowStartMs = nowMs;
  }

  written(bytes: number, nowMs: number): void {
    if (this.bytes === 0) this.restart(nowMs);
    this.bytes += bytes;
  }

  taken(bytes: number, nowMs: number): void {
    this.advance(nowMs);
    this.bytes -= bytes;
    this.takenBytes += bytes;
  }

  /** Time in ms in which the rest is taken at the pace of the last 1 to 2 s. */
  remainingMs(nowMs: number): number {
    this.advance(nowMs);
    const windowMs =
      nowMs - this.windowStartMs + (this.hasWindowBefore ? PACE_WINDOW_MS : 0);
    const takenBytes = this.takenBytes + this.takenBeforeBytes + ASSUMED_BYTES;
    return (this.bytes * (windowMs + 1)) / takenBytes;
  }

  private restart(nowMs: number): void {
    this.windowStartMs = nowMs;
    this.takenBytes = 0;
    this.takenBeforeBytes = 0;
    this.hasWindowBefore = false;
  }

  private advance(nowMs: number): void {
    const elapsedMs = nowMs - this.windowStartMs;
    if (elapsedMs < PACE_WINDOW_MS) return;
    const isNext = elapsedMs < 2 * PACE_WINDOW_MS;
    this.takenBeforeBytes = isNext ? this.takenBytes : 0;
    this.takenBytes = 0;
    this.hasWindowBefore = true;
    this.windowStartMs = isNext ? this.windowStartMs + PACE_WINDOW_MS : nowMs;
  }
}

/**
 * Chooses connections with `excessBytes` together, those first that would keep
 * their bytes longest: the largest and slowest. Load pattern: callers that stop
 * reading long answers, or read a byte a second, among callers that read as
 * fast as their links allow.
 */
export function chooseSlowest<Key>(
  backlogs: ReadonlyMap<Key, Backlog>,
  excessBytes: number,
  nowMs: number,
): Key[] {
  const ranked = [...backlogs]
    .filter(([, {bytes}]) => bytes >= MIN_CLOSED_BYTES)
    .map(([key, backlog]) => ({
      key,
      bytes: backlog.bytes,
      remainingMs: backlog.remainingMs(nowMs),
    }))
    .sort((a, b) => b.remainingMs - a.remainingMs || b.bytes - a.bytes);
  const chosen: Key[] = [];
  let freedBytes = 0;
  for (const {key, bytes} of ranked) {
    if (freedBytes >= excessBytes) break;
    chosen.push(key);
    freedBytes += bytes;
  }
  return chosen;
}
