/** The routes of one configuration, indexed by host and path prefix. */

import type {PrefixRoute} from '@turmericmill/config';

import {PathTree, pathSegments} from './path-tree.js';

/** Returns the host name of a Host header, in lower case without the port. */
export function hostName(header: string): string {
  return header.toLowerCase().replace(/:\d*$/, '');
}

/** Returns the path of a request target, without its query. */
export function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/** An immutable index; a lookup costs one map access per path segment. */
export class PrefixRoutes {
  private readonly byHost = new Map<string, PathTree<PrefixRoute>>();

  constructor(routes: readonly PrefixRoute[]) {
    for (const route of routes) {
      let tree = this.byHost.get(route.host);
      if (!tree) {
        tree = new PathTree();
        this.byHost.set(route.host, tree);
      }
      tree.addPrefix(route.pathPrefix, route);
    }
  }

  /** Returns the route with the longest prefix that matches the path. */
  match(host: string, target: string): PrefixRoute | undefined {
    const tree = this.byHost.get(hostName(host));
    if (!tree) return undefined;
    const path = pathOf(target);
    for (const routes of tree.findMatches(pathSegments(path))) {
      const found = routes.find(({pathPrefix}) => path.startsWith(pathPrefix));
      if (found) return found;
    }
    return undefined;
  }
}
