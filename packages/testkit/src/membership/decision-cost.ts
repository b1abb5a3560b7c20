/**
 * Measures the cost of one `Membership` state machine with many members. The
 * other members do not run: their replies are simulated, so that one process
 * measures fleet sizes that no single machine can run as processes.
 */

import {
  Membership,
  type MembershipEffect,
  type MembershipInput,
} from '@turmericmill/membership';
import {hash32, SeededRandom} from '@turmericmill/utils';
import {
  encodeMessage,
  packMember,
  type MemberRecord,
  type MemberSync,
  type PackedUpdate,
} from '@turmericmill/wire';

const START_MS = 1_700_000_000_000;
const TICK_MS = 100;

/** Duration in seconds of the warm-up and of the quiet measurement. */
const QUIET_SECONDS = 120;

/** Number of updates in one datagram of the simulated mass failure. */
const UPDATES_PER_DATAGRAM = 36;

/** Interval in ms between the datagrams of the mass failure. */
const MASS_FAILURE_DATAGRAM_MS = 20;

/** Time in seconds measured after the last of these datagrams. */
const MASS_FAILURE_SECONDS = 10;

/** Resource usage of one node at a given number of members. */
export interface DecisionCost {
  members: number;
  heapBytesPerMember: number;
  /** Size of the full view as sent to a joining node. */
  viewBytes: number;
  quietCpuMsPerSecond: number;
  /** Bytes sent per second without changes, excluding headers. */
  quietBytesPerSecond: number;
  /** CPU time for processing the failure of half of the members at once. */
  herdCpuMs: number;
  /** Bytes sent during this failure, excluding headers. */
  herdBytes: number;
}

/**
 * Measures one state machine. `--expose-gc` is optional; the heap figure varies
 * less with it.
 */
export function measureDecision(members: number): DecisionCost {
  const random = new SeededRandom(members);
  const own = createRecord(0);
  const membership = new Membership(own, START_MS, random);
  const records = Array.from({length: members - 1}, (unused, index) =>
    createRecord(index + 1),
  );
  const sync = buildSync(records);
  const heapBefore = heapBytes();
  let nowMs = START_MS;
  const handle = (input: MembershipInput) =>
    membership.handle(input, nowMs, random);
  const from = {address: '10.9.9.9', port: 1};
  handle({type: 'message', from, message: {type: 'memberSync', body: sync}});
  const heapAfter = heapBytes();
  const meter = new Meter();
  const runSecond = () => {
    for (let tick = 0; tick < 1000 / TICK_MS; tick += 1) {
      nowMs += TICK_MS;
      for (const effect of handle({type: 'tick'})) {
        meter.recordSent(effect);
        for (const reply of buildReplies(effect, own)) handle(reply);
      }
    }
  };
  for (let warmUp = 0; warmUp < QUIET_SECONDS; warmUp += 1) runSecond();
  meter.start();
  for (let count = 0; count < QUIET_SECONDS; count += 1) runSecond();
  const quiet = meter.stop();
  meter.start();
  killHalf(records, input => {
    nowMs += MASS_FAILURE_DATAGRAM_MS;
    for (const effect of handle(input)) meter.recordSent(effect);
  });
  for (let count = 0; count < MASS_FAILURE_SECONDS; count += 1) runSecond();
  const herd = meter.stop();
  return {
    members,
    heapBytesPerMember: (heapAfter - heapBefore) / members,
    viewBytes: encodeMessage({type: 'memberSync', body: sync}).length,
    quietCpuMsPerSecond: quiet.cpuMs / QUIET_SECONDS,
    quietBytesPerSecond: quiet.bytes / QUIET_SECONDS,
    herdCpuMs: herd.cpuMs,
    herdBytes: herd.bytes,
  };
}

/** Measures CPU time and sent bytes between `start` and `stop`. */
class Meter {
  private bytes = 0;
  private cpuAtStart = process.cpuUsage();

  start(): void {
    this.bytes = 0;
    this.cpuAtStart = process.cpuUsage();
  }

  recordSent(effect: MembershipEffect): void {
    if (effect.type !== 'send-datagram' && effect.type !== 'send-sync') return;
    this.bytes += encodeMessage(effect.message).length;
  }

  stop(): {cpuMs: number; bytes: number} {
    const {user, system} = process.cpuUsage(this.cpuAtStart);
    return {cpuMs: (user + system) / 1000, bytes: this.bytes};
  }
}

/**
 * Replies to a probe with an ack and with a probe from the same member, so that
 * incoming probes are as frequent as outgoing ones.
 */
function buildReplies(
  effect: MembershipEffect,
  own: MemberRecord,
): MembershipInput[] {
  if (effect.type !== 'send-datagram' || effect.message.type !== 'probe') {
    return [];
  }
  const from = effect.to;
  const id = `host-${from.address}`;
  const {seq} = effect.message.body;
  const ack = {type: 'probeAck', body: {seq, from: id}} as const;
  const body = {seq, from: id, to: hash32(own.id)};
  const probe = {type: 'probe', body} as const;
  return [
    {type: 'message', from, message: ack},
    {type: 'message', from, message: probe},
  ];
}

/**
 * Sends gossip from one live member that first suspects, then declares dead,
 * every second member.
 */
function killHalf(
  records: readonly MemberRecord[],
  handle: (input: MembershipInput) => void,
): void {
  const dead = records.filter((unused, index) => index % 2 === 0);
  const sender = records[1] ?? createRecord(1);
  const from = {address: sender.address, port: sender.port};
  for (const code of [1, 2]) {
    for (let start = 0; start < dead.length; start += UPDATES_PER_DATAGRAM) {
      const updates: PackedUpdate[] = dead
        .slice(start, start + UPDATES_PER_DATAGRAM)
        .map(record => [record.id, record.incarnation, code]);
      const body = {from: sender.id, updates};
      const message = {type: 'memberGossip', body} as const;
      handle({type: 'message', from, message});
    }
  }
}

function buildSync(records: readonly MemberRecord[]): MemberSync {
  const members = records.map(packMember);
  const sender = members[0] ?? packMember(createRecord(1));
  const buckets = new Uint8Array();
  return {sender, reply: true, buckets, members, regions: []};
}

function createRecord(number: number): MemberRecord {
  const address = `10.1.${number >> 8}.${number & 255}`;
  return {
    id: `host-${address}`,
    incarnation: START_MS - number,
    status: 'alive',
    address,
    port: 7000,
    dataCentre: `nairobi-${number % 3}`,
    region: 'nairobi',
    revision: 2,
    servers: [
      {
        id: `server-${number}`,
        group: `team-${number % 30}/service-${number % 92}`,
        incarnation: START_MS - number,
        state: 'ready',
        slots: 12,
        connections: 130,
        readySinceMs: START_MS - number,
      },
    ],
  };
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
