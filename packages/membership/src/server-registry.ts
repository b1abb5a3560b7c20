/**
 * Registry of the backend servers that announce themselves to this node. The
 * incarnation, which grows with each start of a server, distinguishes a lapse,
 * a drain, a crash and a return.
 */

import {Err, Ok, type Result} from '@turmericmill/utils';
import type {ServerRecord} from '@turmericmill/wire';

import type {Announcement, AnnouncedState} from './announcement.js';
import {FlapPenalty} from './flap-penalty.js';
import {
  nextServerState,
  type ServerEventType,
  type ServerLifeState,
} from './server-state.js';

/** Time in ms for which an announcement is valid. */
export const ANNOUNCEMENT_LIFETIME_MS = 2_500;

/** Time in ms for which the entry of a server that is gone is kept. */
const GONE_RETENTION_MS = 10 * 60 * 1000;

/** Maximum number of backend servers at one node. */
export const MAX_SERVERS = 64;

/**
 * Time in ms between ticks above which this process counts as paused. There may
 * then be announcements that it has not read yet.
 */
const PAUSE_THRESHOLD_MS = 500;

/** A backend server in the registry of its node. */
export interface LocalServer {
  announcement: Announcement;
  state: ServerLifeState;
  /** Time in ms at which the server became ready; 0 before. */
  readySinceMs: number;
  /** Time in ms at which the latest announcement lapses. */
  lapsesAtMs: number;
}

/** Changes of a server that are reported as events. */
export type RegistryEventType =
  | 'joined'
  | 'ready'
  | 'draining'
  | 'lapsed'
  | 'withdrawn'
  | 'crashed'
  | 'returned';

export interface RegistryEvent {
  type: RegistryEventType;
  name: string;
  incarnation: number;
}

export type AnnounceErrorCode =
  'old-incarnation' | 'group-mismatch' | 'too-many-servers';

export interface AnnounceError {
  code: AnnounceErrorCode;
  message: string;
}

/** Answer to an announcement. */
export interface AnnounceReply {
  state: ServerLifeState;
  /** Time in ms at which this announcement lapses. */
  lapsesAtMs: number;
}

interface RegistryEntry extends LocalServer {
  /** True once the current incarnation has been draining. */
  drained: boolean;
  penalty: FlapPenalty;
}

const EVENT_BY_ANNOUNCED_STATE: Readonly<
  Record<AnnouncedState, ServerEventType>
> = {
  starting: 'ANNOUNCED_STARTING',
  ready: 'ANNOUNCED_READY',
  draining: 'ANNOUNCED_DRAINING',
  gone: 'WITHDRAWN',
};

export class ServerRegistry {
  private readonly entries = new Map<string, RegistryEntry>();
  private events: RegistryEvent[] = [];
  private lastTickMs: number | undefined;

  /** Applies an announcement, or refuses it without any effect. */
  announce(
    announcement: Announcement,
    nowMs: number,
  ): Result<AnnounceReply, AnnounceError> {
    const existing = this.entries.get(announcement.name);
    const err = this.validate(existing, announcement);
    if (err) return Err(err);
    const entry = existing ?? newEntry(announcement);
    this.entries.set(announcement.name, entry);
    if (announcement.incarnation > entry.announcement.incarnation) {
      this.restart(entry, announcement, nowMs);
    }
    entry.announcement = announcement;
    entry.lapsesAtMs = nowMs + ANNOUNCEMENT_LIFETIME_MS;
    this.transition(entry, EVENT_BY_ANNOUNCED_STATE[announcement.state], nowMs);
    return Ok({state: entry.state, lapsesAtMs: entry.lapsesAtMs});
  }

  /** Drains a server; false when no such server is present. */
  drain(name: string, nowMs: number): boolean {
    const entry = this.entries.get(name);
    if (!entry || entry.state === 'gone') return false;
    this.transition(entry, 'DRAIN_ORDERED', nowMs);
    return true;
  }

  /**
   * Revokes an order to drain; false when there is none. A drain that the
   * server announced itself can't be revoked.
   */
  undrain(name: string, nowMs: number): boolean {
    const entry = this.entries.get(name);
    if (entry?.state !== 'draining') return false;
    if (entry.announcement.state === 'draining') return false;
    entry.drained = false;
    this.transition(entry, 'DRAIN_REVOKED', nowMs);
    this.transition(
      entry,
      EVENT_BY_ANNOUNCED_STATE[entry.announcement.state],
      nowMs,
    );
    return true;
  }

  /**
   * Sets servers whose announcement has lapsed to `gone`, and removes entries
   * past their retention. To be called every 100 ms.
   */
  tick(nowMs: number): void {
    const sinceMs = nowMs - (this.lastTickMs ?? nowMs);
    this.lastTickMs = nowMs;
    if (sinceMs > PAUSE_THRESHOLD_MS) this.extendAnnouncements(sinceMs);
    for (const [name, entry] of this.entries) {
      if (nowMs < entry.lapsesAtMs) continue;
      if (entry.state !== 'gone') this.transition(entry, 'LAPSED', nowMs);
      else if (nowMs >= entry.lapsesAtMs + GONE_RETENTION_MS) {
        this.entries.delete(name);
      }
    }
  }

  private extendAnnouncements(ms: number): void {
    for (const entry of this.entries.values()) entry.lapsesAtMs += ms;
  }

  /** Removes and returns the events since the last call. */
  takeEvents(): RegistryEvent[] {
    const {events} = this;
    this.events = [];
    return events;
  }

  /** Servers that are not gone, sorted by name. */
  servers(): LocalServer[] {
    return [...this.entries.values()]
      .filter(({state}) => state !== 'gone')
      .sort((a, b) => (a.announcement.name < b.announcement.name ? -1 : 1));
  }

  /** Records of the servers for dissemination to other nodes. */
  records(): ServerRecord[] {
    return this.servers().map(toRecord);
  }

  private validate(
    existing: RegistryEntry | undefined,
    incoming: Announcement,
  ): AnnounceError | undefined {
    if (!existing) return this.checkCapacity();
    const {incarnation, group} = existing.announcement;
    if (incoming.incarnation < incarnation) {
      const message = `A newer incarnation is registered: ${incarnation}.`;
      return {code: 'old-incarnation', message};
    }
    if (incoming.incarnation === incarnation && incoming.group !== group) {
      const message = `This incarnation belongs to group "${group}".`;
      return {code: 'group-mismatch', message};
    }
    return undefined;
  }

  private checkCapacity(): AnnounceError | undefined {
    if (this.servers().length < MAX_SERVERS) return undefined;
    const message = `This node takes at most ${MAX_SERVERS} servers.`;
    return {code: 'too-many-servers', message};
  }

  /** Resets the entry for a newer incarnation; the previous one has ended. */
  private restart(
    entry: RegistryEntry,
    incoming: Announcement,
    nowMs: number,
  ): void {
    const previous = entry.announcement;
    if (entry.state === 'ready' || entry.state === 'starting') {
      this.recordEvent('crashed', previous);
    }
    entry.penalty.add(nowMs);
    entry.state = 'gone';
    entry.drained = false;
    entry.readySinceMs = 0;
    this.recordEvent('returned', incoming);
  }

  private transition(
    entry: RegistryEntry,
    type: ServerEventType,
    nowMs: number,
  ): void {
    const previousState = entry.state;
    const damped = entry.penalty.isDamped(nowMs);
    entry.state = nextServerState(previousState, type, {
      damped,
      drained: entry.drained,
    });
    if (entry.state === previousState) return;
    if (entry.state === 'draining') entry.drained = true;
    if (entry.state === 'ready') entry.readySinceMs = nowMs;
    const event = eventOf(previousState, entry.state, type);
    this.recordEvent(event, entry.announcement);
  }

  private recordEvent(
    type: RegistryEventType,
    {name, incarnation}: Announcement,
  ) {
    this.events.push({type, name, incarnation});
  }
}

function newEntry(announcement: Announcement): RegistryEntry {
  return {
    announcement,
    state: 'gone',
    drained: false,
    readySinceMs: 0,
    lapsesAtMs: 0,
    penalty: new FlapPenalty(),
  };
}

function eventOf(
  previousState: ServerLifeState,
  state: ServerLifeState,
  type: ServerEventType,
): RegistryEventType {
  if (state === 'gone') return type === 'LAPSED' ? 'lapsed' : 'withdrawn';
  if (state === 'starting') return 'joined';
  if (state === 'draining') return 'draining';
  return previousState === 'gone' ? 'joined' : 'ready';
}

function toRecord(server: LocalServer): ServerRecord {
  const {name, group, incarnation, slots, connections} = server.announcement;
  return {
    id: name,
    group,
    incarnation,
    state: server.state as ServerRecord['state'],
    slots,
    connections,
    readySinceMs: server.readySinceMs,
  };
}
