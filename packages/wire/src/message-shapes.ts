/**
 * Required and optional fields of each message, checked when it is decoded, so
 * that a malformed message of another process ends at its connection.
 */

import type {MessageBodies, MessageName} from './message-table.js';

type FieldCheck = (value: unknown) => boolean;

type Shape = Readonly<Record<string, FieldCheck>>;

const text: FieldCheck = value => typeof value === 'string';
const flag: FieldCheck = value => typeof value === 'boolean';
const number: FieldCheck = value => Number.isFinite(value);
/** An age may be infinite: there was no event to count from. */
const age: FieldCheck = value => typeof value === 'number' && value >= 0;
const integer: FieldCheck = value => Number.isSafeInteger(value);
const bytes: FieldCheck = value => value instanceof Uint8Array;
const list: FieldCheck = value => Array.isArray(value);
const texts: FieldCheck = value => Array.isArray(value) && value.every(text);
const numbers: FieldCheck = value =>
  isObject(value) && Object.values(value).every(number);
const flatHeaders: FieldCheck = value =>
  texts(value) && (value as string[]).length % 2 === 0;

function optional(check: FieldCheck): FieldCheck {
  return value => value === undefined || check(value);
}

function object(shape: Shape): FieldCheck {
  return value =>
    isObject(value) &&
    Object.entries(shape).every(([name, check]) => check(value[name]));
}

function listOf(check: FieldCheck): FieldCheck {
  return value => Array.isArray(value) && value.every(check);
}

/** Whole numbers from 0 on, in groups of three. */
const triples: FieldCheck = value =>
  Array.isArray(value) &&
  value.length % 3 === 0 &&
  value.every(entry => Number.isSafeInteger(entry) && entry >= 0);

const load = object({
  inFlight: number,
  queued: number,
  limit: number,
  serviceMs: optional(number),
  waitMs: optional(number),
});
const urgency = object({
  rank: number,
  targetRemainingMs: number,
  acceptsLate: flag,
  repeatable: flag,
});
const keptAnswer = object({
  status: integer,
  headers: flatHeaders,
  body: bytes,
});
const versionReport = {counts: isObject, laggards: texts};
const window = {callId: integer, bytes: number};
const data = {callId: integer, chunk: bytes, end: flag, trailers: flatHeaders};
const nonce = {nonce: integer};
const updates = optional(list);
const change = object({baseVersion: integer, delta: bytes});
const phase: FieldCheck = value =>
  ['trial', 'closing', 'completed', 'rolled-back'].includes(value as string);
const share: FieldCheck = value =>
  typeof value === 'number' && value >= 0 && value <= 1;
const rolloutStateShape = {
  service: text,
  orderOffset: integer,
  targetVersion: text,
  term: integer,
  sequence: integer,
  phase,
  share,
  servers: texts,
  barred: optional(texts),
  isSettled: optional(flag),
};
const rolloutOrder = object({
  service: text,
  targetVersion: text,
  durationMs: number,
  offset: integer,
  remainingMs: number,
  state: optional(object(rolloutStateShape)),
});
const count: FieldCheck = value =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const bucketCounts = listOf(
  value => Array.isArray(value) && value.length === 2 && value.every(count),
);
const rolloutCounts = object({
  class: text,
  side: value => value === 'old' || value === 'new',
  requests: count,
  answered: count,
  failed: count,
  unproven: count,
  refused: count,
  latencies: bucketCounts,
  coldLatencies: bucketCounts,
});
const usageOfNode = object({
  nodeId: text,
  incarnation: integer,
  calls: numbers,
});

/** A check for each field of each message. */
const SHAPES: {
  readonly [K in MessageName]: Readonly<
    Record<keyof MessageBodies[K], FieldCheck>
  >;
} = {
  hello: {
    minVersion: integer,
    maxVersion: integer,
    nodeId: text,
    incarnation: integer,
    dataCentre: text,
    region: text,
  },
  goodbye: {reason: text, detail: text},
  ping: nonce,
  pong: nonce,
  probe: {seq: integer, from: text, to: integer, updates},
  probeRequest: {seq: integer, from: text, target: text, updates},
  probeAck: {seq: integer, from: text, updates},
  memberSync: {
    sender: list,
    reply: flag,
    buckets: bytes,
    members: list,
    regions: list,
  },
  memberGossip: {from: text, updates: list, regions: optional(list)},
  memberDigest: {sender: list, buckets: bytes, regions: numbers},
  configHave: {
    version: integer,
    digest: text,
    known: integer,
    settled: flag,
    ask: flag,
  },
  configFetch: {have: integer},
  configDelta: {
    from: integer,
    to: integer,
    digest: text,
    writes: list,
    acceptedAtMs: number,
    root: optional(text),
  },
  configSnapshotPart: {
    version: integer,
    digest: text,
    part: integer,
    parts: integer,
    writes: list,
  },
  configBusy: {retryAfterMs: number},
  versionReport,
  fleetQuery: {atMs: number},
  fleetReply: versionReport,
  configNotice: {
    version: integer,
    ageMs: age,
    sentMs: optional(number),
    storeEra: optional(integer),
    nonce: optional(integer),
    confirmedAgeMs: optional(age),
    document: optional(bytes),
    change: optional(change),
    earlierChanges: optional(listOf(change)),
    rollouts: optional(listOf(rolloutOrder)),
  },
  configAsk: {version: integer, nonce: optional(integer)},
  callStart: {
    callId: integer,
    serverId: text,
    serverIncarnation: integer,
    group: text,
    method: text,
    path: text,
    headers: flatHeaders,
    customer: text,
    tenant: optional(text),
    tenantVersion: optional(integer),
    class: text,
    priority: text,
    hops: integer,
    fingerprint: text,
    urgency: optional(urgency),
    remainingMs: number,
    sentMs: number,
    end: flag,
    body: bytes,
  },
  callData: data,
  callWindow: window,
  callCancel: {callId: integer},
  answerStart: {
    callId: integer,
    status: integer,
    headers: flatHeaders,
    load,
    end: flag,
    body: bytes,
  },
  answerData: data,
  answerWindow: window,
  answerFailed: {
    callId: integer,
    outcome: text,
    reason: text,
    detail: text,
    load,
    reachedServer: optional(flag),
  },
  claimRequest: {
    requestId: integer,
    partition: integer,
    key: text,
    claimId: text,
    requestDigest: text,
    remainingMs: number,
  },
  claimReply: {
    requestId: integer,
    claimId: text,
    verdict: text,
    inDoubt: flag,
    answer: optional(keptAnswer),
  },
  claimOutcome: {
    partition: integer,
    key: text,
    claimId: text,
    outcome: text,
    answer: optional(keptAnswer),
  },
  crashReport: {fingerprints: texts, server: text, atMs: number},
  quarantine: {fingerprint: text, untilMs: number},
  suspectCleared: {fingerprint: text},
  usageReport: {nodes: listOf(usageOfNode)},
  usageTotals: {offset: integer, calls: numbers},
  quotaAsk: {
    seq: integer,
    owner: integer,
    ticketMs: number,
    binding: integer,
    freeMs: age,
    starter: flag,
    hosts: integer,
    leaves: flag,
    demands: triples,
  },
  quotaGrant: {
    seq: integer,
    owner: integer,
    ticketMs: number,
    hosts: integer,
    active: flag,
    bound: flag,
    ended: flag,
    grants: triples,
  },
  rolloutState: rolloutStateShape,
  rolloutEvidence: {
    service: text,
    orderOffset: integer,
    nodeId: text,
    incarnation: integer,
    sequence: integer,
    rows: listOf(rolloutCounts),
  },
  rolloutClosed: {
    service: text,
    orderOffset: integer,
    term: integer,
    server: text,
  },
};

function isObject(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array)
  );
}

/** Returns the name of the first malformed field; undefined if there is none. */
export function findMalformedField(
  type: MessageName,
  body: object,
): string | undefined {
  const fields = body as Readonly<Record<string, unknown>>;
  for (const [name, check] of Object.entries<FieldCheck>(SHAPES[type])) {
    if (!check(fields[name])) return name;
  }
  return undefined;
}
