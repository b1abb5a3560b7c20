/** The coordinators' record of an order: its term and last phase. */

import type {KeyedRecord} from '@turmericmill/platform-adapter';
import type {RolloutPhase} from '@turmericmill/routing';

const PHASES: readonly unknown[] = [
  'trial',
  'closing',
  'completed',
  'rolled-back',
];

/** The newest one of a service is valid. */
export interface PhaseRecord {
  service: string;
  orderOffset: number;
  targetVersion: string;
  term: number;
  phase: RolloutPhase;
  /** Coordinator of the term. */
  nodeId: string;
  /** When the order was first read, in ms since the epoch. */
  orderMs: number;
  /** Time limit in ms since the epoch. */
  limitMs: number;
  /** Versions of earlier orders that take no calls. */
  barred: readonly string[];
}

export function encodePhaseRecord(record: PhaseRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Returns undefined if the record is malformed. */
export function parsePhaseRecord({
  key,
  value,
}: KeyedRecord): PhaseRecord | undefined {
  let fields: unknown;
  try {
    fields = JSON.parse(Buffer.from(value).toString('utf8'));
  } catch {
    return undefined;
  }
  if (typeof fields !== 'object' || fields === null) return undefined;
  const record = fields as Partial<Record<keyof PhaseRecord, unknown>>;
  const {service, targetVersion, nodeId, phase, barred} = record;
  const texts = [service, targetVersion, nodeId];
  const {orderOffset, term, orderMs, limitMs} = record;
  const numbers = [orderOffset, term, orderMs, limitMs];
  const isValid =
    service === key &&
    texts.every(text => typeof text === 'string') &&
    numbers.every(Number.isSafeInteger) &&
    PHASES.includes(phase) &&
    Array.isArray(barred) &&
    barred.every(version => typeof version === 'string');
  return isValid ? (record as PhaseRecord) : undefined;
}
