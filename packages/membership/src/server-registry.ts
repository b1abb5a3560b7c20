/**
 * The backend servers beside one node. A lapse, a drain, a crash and a return
 * are told apart by the incarnation, which grows with each start of a server.
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

/** Time in ms for which an announcement holds. */
export const ANNOUNCEMENT_LIFETIME_MS = 2_500;

/** Time in ms for which a server that is gone is remembered. */
const GONE_RETENTION_MS = 10 * 60 * 1000;

/** Servers that one node takes. */
export const MAX_SERVERS = 64;

/**
 * A tick later than this, in ms, means that this process was paused; it may
 * then have announcements that it has not read yet.
 */
const PAUSE_THRESHOLD_MS = 500;

/** A backend server as its node knows it. */
export interface LocalServer {
  announcement: Announcement;
  state: ServerLifeState;
  /** Time in ms at which it became ready; 0 before. */
  readySinceMs: number;
  /** Time in ms at which the last announcement lapses. */
  lapsesAtMs: number;
}

/** Why a server left or returned. */
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

/** What the server hears back. */
export interface AnnounceReply {
  state: ServerLifeState;
  /** Time in ms until which this announcement holds. */
  lapsesAtMs: number;
}

interface RegistryEntry extends LocalServer {
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

  /** Takes an announcement. */
  announce(
    announcement: Announcement,
    nowMs: number,
  ): Result<AnnounceReply, AnnounceError> {
    const known = this.entries.get(announcement.name);
    const err = this.objection(known, announcement);
    if (err) return Err(err);
    const entry = known ?? newEntry(announcement);
    this.entries.set(announcement.name, entry);
    if (announcement.incarnation > entry.announcement.incarnation) {
      this.restart(entry, announcement, nowMs);
    }
    entry.announcement = announcement;
    entry.lapsesAtMs = nowMs + ANNOUNCEMENT_LIFETIME_MS;
    this.step(entry, EVENT_BY_ANNOUNCED_STATE[announcement.state], nowMs);
    return Ok({state: entry.state, lapsesAtMs: entry.lapsesAtMs});
  }

  /** Takes a server out of work; true when there is such a server. */
  drain(name: string, nowMs: number): boolean {
    const entry = this.entries.get(name);
    if (!entry || entry.state === 'gone') return false;
    this.step(entry, 'DRAIN_ORDERED', nowMs);
    return true;
  }

  /** Revokes an order to drain; true when there was one to revoke. */
  undrain(name: string, nowMs: number): boolean {
    const entry = this.entries.get(name);
    if (entry?.state !== 'draining') return false;
    if (entry.announcement.state === 'draining') return false;
    entry.drained = false;
    this.step(entry, 'DRAIN_REVOKED', nowMs);
    this.step(entry, EVENT_BY_ANNOUNCED_STATE[entry.announcement.state], nowMs);
    return true;
  }

  /** Lapses announcements whose deadline has passed. Wanted each 100 ms. */
  tick(nowMs: number): void {
    const sinceMs = nowMs - (this.lastTickMs ?? nowMs);
    this.lastTickMs = nowMs;
    if (sinceMs > PAUSE_THRESHOLD_MS) this.postpone(sinceMs);
    for (const [name, entry] of this.entries) {
      if (nowMs < entry.lapsesAtMs) continue;
      if (entry.state !== 'gone') this.step(entry, 'LAPSED', nowMs);
      else if (nowMs >= entry.lapsesAtMs + GONE_RETENTION_MS) {
        this.entries.delete(name);
      }
    }
  }

  private postpone(ms: number): void {
    for (const entry of this.entries.values()) entry.lapsesAtMs += ms;
  }

  /** Events since the last call. */
  takeEvents(): RegistryEvent[] {
    const {events} = this;
    this.events = [];
    return events;
  }

  /** Servers that are there, in order of their names. */
  servers(): LocalServer[] {
    return [...this.entries.values()]
      .filter(({state}) => state !== 'gone')
      .sort((a, b) => (a.announcement.name < b.announcement.name ? -1 : 1));
  }

  /** What the membership tells others of the servers. */
  records(): ServerRecord[] {
    return this.servers().map(toRecord);
  }

  private objection(
    known: RegistryEntry | undefined,
    incoming: Announcement,
  ): AnnounceError | undefined {
    if (!known) return this.fullObjection();
    const {incarnation, group} = known.announcement;
    if (incoming.incarnation < incarnation) {
      const message = `Incarnation ${incarnation} has been announced.`;
      return {code: 'old-incarnation', message};
    }
    if (incoming.incarnation === incarnation && incoming.group !== group) {
      const message = `This incarnation belongs to group "${group}".`;
      return {code: 'group-mismatch', message};
    }
    return undefined;
  }

  private fullObjection(): AnnounceError | undefined {
    if (this.servers().length < MAX_SERVERS) return undefined;
    const message = `This node takes at most ${MAX_SERVERS} servers.`;
    return {code: 'too-many-servers', message};
  }

  /** A newer incarnation: the one before is over, however it ended. */
  private restart(
    entry: RegistryEntry,
    incoming: Announcement,
    nowMs: number,
  ): void {
    const before = entry.announcement;
    if (entry.state === 'ready' || entry.state === 'starting') {
      this.report('crashed', before);
    }
    entry.penalty.add(nowMs);
    entry.state = 'gone';
    entry.drained = false;
    entry.readySinceMs = 0;
    this.report('returned', incoming);
  }

  private step(
    entry: RegistryEntry,
    type: ServerEventType,
    nowMs: number,
  ): void {
    const before = entry.state;
    const damped = entry.penalty.isDamped(nowMs);
    entry.state = nextServerState(before, type, {
      damped,
      drained: entry.drained,
    });
    if (entry.state === before) return;
    if (entry.state === 'draining') entry.drained = true;
    if (entry.state === 'ready') entry.readySinceMs = nowMs;
    const event = eventOf(before, entry.state, type);
    this.report(event, entry.announcement);
  }

  private report(type: RegistryEventType, {name, incarnation}: Announcement) {
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
  before: ServerLifeState,
  after: ServerLifeState,
  type: ServerEventType,
): RegistryEventType {
  if (after === 'gone') return type === 'LAPSED' ? 'lapsed' : 'withdrawn';
  if (after === 'starting') return 'joined';
  if (after === 'draining') return 'draining';
  return before === 'gone' ? 'joined' : 'ready';
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
