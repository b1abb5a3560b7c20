/** Runs calls on the backend servers of this node. */

import type {Resource, ResourceKey} from '@turmericmill/config';
import {resolveReference} from '@turmericmill/config';
import type {Clock} from '@turmericmill/utils';

import type {Bus, LocalServer} from '../bus.js';
import {
  AdmittedServer,
  type AdmissionTerms,
  type CrashTracker,
} from './admitted-server.js';
import {
  CallRunner,
  ENDED_LEG,
  NO_LOAD,
  type CallEvents,
  type CallHead,
  type CallLeg,
  type InitialBody,
} from './call-leg.js';

/** Looks up resources of the configuration in force. */
interface ResourceLookup {
  get(key: ResourceKey): Resource | undefined;
}

/** Manages an `AdmittedServer` for each incarnation of a local server. */
export class LocalRunner extends CallRunner {
  private readonly servers = new Map<string, AdmittedServer>();
  private announced: readonly LocalServer[] = [];
  private resources: ResourceLookup = new Map<ResourceKey, Resource>();

  constructor(
    bus: Bus,
    private readonly clock: Clock,
    private readonly crashes: CrashTracker,
  ) {
    super();
    bus.subscribe('local-servers', ({servers}) => {
      this.announced = servers;
      this.update();
    });
    bus.subscribe('config-in-force', ({state}) => {
      this.resources = state.resources;
      this.update();
    });
  }

  /** Number of calls that occupy a slot of the server. */
  inFlightOf(serverId: string): number {
    return this.servers.get(serverId)?.inFlight ?? 0;
  }

  override run(head: CallHead, body: InitialBody, events: CallEvents): CallLeg {
    const target = this.servers.get(head.serverId);
    if (target?.server.incarnation === head.serverIncarnation) {
      return target.run(head, body, events);
    }
    events.failed({
      outcome: 'not-run',
      reason: 'no-server',
      detail: 'The server is no longer at this node.',
      load: {...NO_LOAD},
    });
    return ENDED_LEG;
  }

  async close(): Promise<void> {
    const targets = [...this.servers.values()];
    await Promise.all(targets.map(target => target.destroy()));
    this.servers.clear();
  }

  private update(): void {
    const present = new Set(this.announced.map(({id}) => id));
    for (const [id, target] of this.servers) {
      if (!present.has(id)) this.retire(id, target);
    }
    for (const server of this.announced) this.createOrUpdate(server);
  }

  private createOrUpdate(server: LocalServer): void {
    const existing = this.servers.get(server.id);
    const terms = this.termsOf(server);
    const isSame =
      existing?.server.incarnation === server.incarnation &&
      existing.server.address === server.address &&
      existing.server.port === server.port;
    if (existing && isSame) {
      existing.update(server, terms);
      return;
    }
    if (existing) this.retire(server.id, existing);
    const {clock, crashes} = this;
    const target = new AdmittedServer(server, terms, clock, crashes);
    this.servers.set(server.id, target);
  }

  private retire(id: string, target: AdmittedServer): void {
    this.servers.delete(id);
    target.retire();
  }

  /** For each bound, the minimum of the server's own and its group's. */
  private termsOf(server: LocalServer): AdmissionTerms {
    const key = resolveReference('', 'backendServerGroup', server.group);
    const group = this.resources.get(key);
    const spec = group?.kind === 'backendServerGroup' ? group.spec : undefined;
    const bounds = {
      slots: Math.min(server.slots, spec?.maxSlots ?? Infinity),
      connections: Math.min(
        server.connections,
        spec?.maxConnections ?? Infinity,
      ),
    };
    return {bounds, weightOf: cls => this.weightOf(cls as ResourceKey)};
  }

  private weightOf(cls: ResourceKey): number {
    const resource = this.resources.get(cls);
    return resource?.kind === 'class' ? resource.spec.weight : 1;
  }
}
