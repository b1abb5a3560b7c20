/** Index of entries by path, as a tree of path segments. */

interface PathNode<T> {
  children: Map<string, PathNode<T>>;
  exact: T[];
  prefix: T[];
}

function createNode<T>(): PathNode<T> {
  return {children: new Map(), exact: [], prefix: []};
}

/**
 * Splits a path without query and fragment into segments. A trailing slash adds
 * no segment.
 */
export function pathSegments(path: string): string[] {
  const query = path.search(/[?#]/);
  const pathOnly = query < 0 ? path : path.slice(0, query);
  const segments = pathOnly.split('/').slice(1);
  if (segments.at(-1) === '') segments.pop();
  return segments;
}

/**
 * Entries by exact path or prefix. A lookup costs one map access per segment,
 * regardless of the number of entries.
 */
export class PathTree<T> {
  private readonly root = createNode<T>();

  /** Adds an entry for exactly one path. */
  addExact(path: string, entry: T): void {
    this.getOrCreateNode(path).exact.push(entry);
  }

  /** Adds an entry for a path and all paths below it. */
  addPrefix(path: string, entry: T): void {
    this.getOrCreateNode(path).prefix.push(entry);
  }

  /**
   * Returns the lists of entries that match the path, most specific first: those
   * of the exact path, then those of the longest prefix, and so on.
   */
  findMatches(segments: readonly string[]): T[][] {
    const lists: T[][] = [];
    let node: PathNode<T> | undefined = this.root;
    for (let depth = 0; node; depth++) {
      if (node.prefix.length > 0) lists.push(node.prefix);
      const segment: string | undefined = segments[depth];
      if (segment === undefined) break;
      node = node.children.get(segment);
    }
    if (node && node.exact.length > 0) lists.push(node.exact);
    return lists.reverse();
  }

  /** Sorts the entries of each list. */
  sort(compare: (a: T, b: T) => number): void {
    const pending = [this.root];
    for (let node = pending.pop(); node; node = pending.pop()) {
      node.exact.sort(compare);
      node.prefix.sort(compare);
      pending.push(...node.children.values());
    }
  }

  private getOrCreateNode(path: string): PathNode<T> {
    let node = this.root;
    for (const segment of pathSegments(path)) {
      let child = node.children.get(segment);
      if (!child) {
        child = createNode();
        node.children.set(segment, child);
      }
      node = child;
    }
    return node;
  }
}
