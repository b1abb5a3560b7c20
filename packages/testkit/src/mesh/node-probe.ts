/** Queries the version in force and the known servers of a node. */

import type {FleetStatus, ServerList, VersionInForce} from '@turmericmill/node';
import {request} from 'undici';

const TIMEOUT_MS = 2000;

/** Client of the administration API of one node. */
export class NodeProbe {
  constructor(
    readonly nodeId: string,
    private readonly adminUrl: string,
    private readonly token: string,
  ) {}

  /** Version in force; undefined without a valid answer. */
  async version(): Promise<number | undefined> {
    const answer = await this.get<VersionInForce>('/v1/version');
    return answer?.version;
  }

  /** Number of ready servers known; undefined without a valid answer. */
  async readyServers(): Promise<number | undefined> {
    const answer = await this.get<ServerList>('/v1/servers');
    return answer?.servers.filter(({state}) => state === 'ready').length;
  }

  /** Number of nodes with a version in force, according to this node. */
  async nodes(): Promise<number | undefined> {
    const answer = await this.get<FleetStatus>('/v1/status');
    return answer?.dataCentres.reduce((sum, {nodes}) => sum + nodes, 0);
  }

  private async get<T>(path: string): Promise<T | undefined> {
    try {
      const res = await request(`${this.adminUrl}${path}`, {
        headers: {authorization: `Bearer ${this.token}`},
        headersTimeout: TIMEOUT_MS,
      });
      if (res.statusCode === 200) return (await res.body.json()) as T;
      await res.body.dump();
      return undefined;
    } catch {
      return undefined;
    }
  }
}
