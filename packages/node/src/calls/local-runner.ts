/** Runs calls on the backend servers beside this node. */

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

/** Keeps admission and connections for each incarnation of a local server. */
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

  /** Calls that run now on one local server. */
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
      detail: 'The server is not here any more.',
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
      if (!present.has(id)) this.drop(id, target);
    }
    for (const server of this.announced) this.put(server);
  }

  private put(server: LocalServer): void {
    const known = this.servers.get(server.id);
    const terms = this.termsOf(server);
    const same =
      known?.server.incarnation === server.incarnation &&
      known.server.address === server.address &&
      known.server.port === server.port;
    if (known && same) {
      known.update(server, terms);
      return;
    }
    if (known) this.drop(server.id, known);
    const {clock, crashes} = this;
    const target = new AdmittedServer(server, terms, clock, crashes);
    this.servers.set(server.id, target);
  }

  private drop(id: string, target: AdmittedServer): void {
    this.servers.delete(id);
    target.retire();
  }

  /** The least of what the server announced and its group allows. */
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
