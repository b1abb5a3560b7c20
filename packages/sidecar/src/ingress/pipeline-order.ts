/** Decides when the requests of one connection are passed on. */

/** Requests of one connection that may be at work at once. */
const MAX_SIDE_BY_SIDE = 4;

type Stage = 'arrived' | 'waiting' | 'passed';

interface Entry {
  repeatable: boolean;
  stage: Stage;
}

/**
 * Load pattern: callers that send further requests before the first one is
 * answered. Repeatable requests run side by side, a few at once: waiting for
 * the answers one by one would add up their times, and without a limit one
 * connection would take the slots of many. A request that must not be repeated
 * is passed on only when nothing is before it, and nothing behind it is passed
 * on before its answer is sent: an answer that is lost with its connection
 * could not be asked for again.
 */
export class PipelineOrder<Key> {
  private readonly entries = new Map<Key, Entry>();
  /** The last requests that are passed on; undefined before a drain. */
  private lastKeys: ReadonlySet<Key> | undefined;

  /** Number of requests whose answers are not fully sent. */
  get size(): number {
    return this.entries.size;
  }

  /** Adds the request that has arrived last. */
  add(key: Key, repeatable: boolean): void {
    this.entries.set(key, {repeatable, stage: 'arrived'});
  }

  /** The request is complete and waits to be passed on. */
  wait(key: Key): void {
    const entry = this.entries.get(key);
    if (entry) entry.stage = 'waiting';
  }

  /** The answer of the request is fully sent. */
  remove(key: Key): void {
    this.entries.delete(key);
  }

  /** Returns the requests that may be passed on now; they count as passed. */
  next(): Key[] {
    const keys: Key[] = [];
    let before = 0;
    for (const [key, entry] of this.entries) {
      if (before > 0 && !entry.repeatable) break;
      if (entry.stage === 'arrived' || before >= MAX_SIDE_BY_SIDE) break;
      if (entry.stage === 'waiting') {
        if (this.lastKeys?.has(key) === false) break;
        keys.push(key);
      }
      entry.stage = 'passed';
      if (!entry.repeatable) break;
      before += 1;
    }
    return keys;
  }

  /**
   * The same while the connection is to close. Nothing is passed on behind what
   * is at work. After that, requests that have wholly arrived are passed on
   * once more, and none behind them.
   */
  nextLast(hasArrived: (key: Key) => boolean): Key[] {
    const [first] = this.entries;
    if (!this.lastKeys) {
      if (first?.[1].stage !== 'waiting') return [];
      this.lastKeys = this.chooseLast(hasArrived);
    }
    return this.next();
  }

  private chooseLast(hasArrived: (key: Key) => boolean): Set<Key> {
    const keys = new Set<Key>();
    for (const [key, {repeatable}] of this.entries) {
      const isBehind = keys.size > 0;
      if (isBehind && !(repeatable && hasArrived(key))) break;
      keys.add(key);
      if (!repeatable || keys.size === MAX_SIDE_BY_SIDE) break;
    }
    return keys;
  }
}
