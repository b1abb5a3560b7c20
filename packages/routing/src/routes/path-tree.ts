/** Index of entries by path, segment by segment. */

interface PathNode<T> {
  children: Map<string, PathNode<T>>;
  exact: T[];
  prefix: T[];
}

function makeNode<T>(): PathNode<T> {
  return {children: new Map(), exact: [], prefix: []};
}

/** Splits a path into segments; a trailing slash is not a segment. */
export function pathSegments(path: string): string[] {
  const query = path.search(/[?#]/);
  const bare = query < 0 ? path : path.slice(0, query);
  const segments = bare.split('/').slice(1);
  if (segments.at(-1) === '') segments.pop();
  return segments;
}

/**
 * Entries by exact path or prefix. A lookup costs one map access for each
 * segment, whatever the number of entries.
 */
export class PathTree<T> {
  private readonly root = makeNode<T>();

  /** Adds an entry for one path. */
  addExact(path: string, entry: T): void {
    this.nodeAt(path).exact.push(entry);
  }

  /** Adds an entry for a path and all paths below it. */
  addPrefix(path: string, entry: T): void {
    this.nodeAt(path).prefix.push(entry);
  }

  /**
   * Lists of entries that cover the path, most specific first: those of the
   * exact path, then those of the longest prefix, and so on.
   */
  cover(segments: readonly string[]): T[][] {
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

  /** Orders the entries of each list. */
  sort(compare: (a: T, b: T) => number): void {
    const open = [this.root];
    for (let node = open.pop(); node; node = open.pop()) {
      node.exact.sort(compare);
      node.prefix.sort(compare);
      open.push(...node.children.values());
    }
  }

  private nodeAt(path: string): PathNode<T> {
    let node = this.root;
    for (const segment of pathSegments(path)) {
      let child = node.children.get(segment);
      if (!child) {
        child = makeNode();
        node.children.set(segment, child);
      }
      node = child;
    }
    return node;
  }
}
