/** Accounts for bytes that callers have not taken; closes slow connections. */

import type {Socket} from 'node:net';

import type {Clock} from '@turmericmill/utils';

import type {MemoryAccount} from './memory-account.js';
import {Backlog, chooseSlowest} from './slow-connections.js';

/** A connection that was closed because its bytes were needed. */
export interface ClosedCaller {
  /** Address of the caller. */
  address: string;
  /** Bytes that it had not taken. */
  bytes: number;
  /** Time in ms that it would have needed for them at its last pace. */
  remainingMs: number;
}

export interface CallerOutputParts {
  account: MemoryAccount;
  clock: Clock;
  /** Called for each connection that is closed to make room. */
  onClosed(closed: ClosedCaller): void;
}

export class CallerOutput {
  private readonly backlogs = new Map<Socket, Backlog>();

  constructor(private readonly parts: CallerOutputParts) {
    parts.account.onExcess = () => this.makeRoom();
  }

  /** Counts bytes about to be written; may close this or other connections. */
  written(socket: Socket, bytes: number): void {
    if (socket.destroyed) return;
    const {account, clock} = this.parts;
    let backlog = this.backlogs.get(socket);
    if (!backlog) {
      backlog = new Backlog(clock.now());
      this.backlogs.set(socket, backlog);
      socket.once('close', () => this.forget(socket));
    }
    backlog.written(bytes, clock.now());
    account.add('callers', bytes);
  }

  /** Counts bytes that the socket has taken. */
  taken(socket: Socket, bytes: number): void {
    const backlog = this.backlogs.get(socket);
    if (!backlog) return;
    backlog.taken(bytes, this.parts.clock.now());
    this.parts.account.add('callers', -bytes);
  }

  private makeRoom(): void {
    const {account, clock, onClosed} = this.parts;
    const nowMs = clock.now();
    const slowest = chooseSlowest(this.backlogs, account.excessBytes, nowMs);
    for (const socket of slowest) {
      const backlog = this.backlogs.get(socket);
      if (!backlog) continue;
      const {bytes} = backlog;
      const remainingMs = backlog.remainingMs(nowMs);
      const address = socket.remoteAddress ?? '';
      this.forget(socket);
      // A reset, as an orderly close may pass for the end of an answer.
      socket.resetAndDestroy();
      onClosed({address, bytes, remainingMs});
    }
  }

  private forget(socket: Socket): void {
    const bytes = this.backlogs.get(socket)?.bytes ?? 0;
    this.backlogs.delete(socket);
    this.parts.account.add('callers', -bytes);
  }
}
