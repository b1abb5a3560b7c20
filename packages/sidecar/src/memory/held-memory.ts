/** What a process holds for others: its account, its budgets and its limits. */

import {
  PeerOutbox,
  type Bus,
  type IncomingLimits,
  type TransportTask,
} from '@turmericmill/node';
import type {HostSettings} from '@turmericmill/platform-adapter';
import {ReturnForecast} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {createAnswerBudget, type AnswerBudget} from '../answer-budget.js';

import {BodyBudget} from '../ingress/body-budget.js';
import {createHostLink, OutboxLink} from '../host-link.js';
import {LogBudget, type LineRate} from '../observe/log-budget.js';
import {CallerOutput, type ClosedCaller} from './caller-output.js';
import {MemoryAccount, type HeldKind} from './memory-account.js';
import {memoryLimits} from './memory-limits.js';

const CLOSED_EVENT = 'slow caller closed';
const CLOSED_RATE: LineRate = {perSecond: 5, burst: 20};

export interface HeldMemoryParts {
  settings: Pick<HostSettings, 'memoryMb' | 'memory' | 'linkMbps'>;
  bus: Bus;
  transport: Pick<TransportTask, 'unsentBytes' | 'sentBytes'>;
  clock: Clock;
  logger: Logger;
}

export class HeldMemory implements IncomingLimits {
  readonly answers: AnswerBudget;
  readonly bodies: BodyBudget;
  readonly callers: CallerOutput;
  readonly outbox: PeerOutbox;
  /** How long answers wait in the outbox. */
  readonly returnForecast: ReturnForecast;
  /** Callers' connections that were closed to make room. */
  callersClosed = 0;
  private readonly account: MemoryAccount;
  private readonly logBudget = new LogBudget();

  constructor(private readonly parts: HeldMemoryParts) {
    const {settings, bus, transport, clock} = parts;
    const {memoryMb, memory} = settings;
    const limits = memoryLimits(memoryMb, memory);
    const link = createHostLink(settings, transport, clock);
    const account = new MemoryAccount(limits.heldBytes);
    account.peerBytes = () => transport.unsentBytes();
    this.account = account;
    this.answers = createAnswerBudget(memoryMb, limits, account);
    this.bodies = BodyBudget.ofProcess(limits, account);
    this.callers = new CallerOutput({
      account,
      clock,
      onClosed: closed => this.recordClosed(closed),
    });
    this.outbox = new PeerOutbox({
      bus,
      budget: this.answers,
      unsentBytes: (peer, message) => transport.unsentBytes(peer, message),
      link,
    });
    this.returnForecast = new ReturnForecast(
      new OutboxLink(this.outbox, link.bytesPerMs),
    );
  }

  /** Bytes held for one purpose. */
  bytesOf(kind: HeldKind): number {
    return this.account.bytesOf(kind);
  }

  private recordClosed({address, bytes, remainingMs}: ClosedCaller): void {
    const {clock, logger} = this.parts;
    this.callersClosed += 1;
    const now = clock.now();
    const line = this.logBudget.decideLine(CLOSED_EVENT, CLOSED_RATE, now);
    if (!line.write) return;
    const {leftOut} = line;
    const fields = {address, bytes, remainingMs: Math.round(remainingMs)};
    logger.info({...fields, ...(leftOut > 0 && {leftOut})}, CLOSED_EVENT);
  }
}
