/**
 * Cost of one membership decision that knows many members. The others are not
 * run: their answers are made up, so that one process shows what the decision
 * costs at sizes that no single machine can run as processes.
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
const QUIET_SECONDS = 120;

/** Updates in one datagram of a herd. */
const UPDATES_PER_DATAGRAM = 36;

/** Time in ms between the datagrams of a herd, and for which it is followed. */
const HERD_DATAGRAM_MS = 20;
const HERD_SECONDS = 10;

/** What one node spends at a number of members. */
export interface DecisionCost {
  members: number;
  heapBytesPerMember: number;
  /** Size of the whole view as sent to a joining node. */
  viewBytes: number;
  quietCpuMsPerSecond: number;
  /** Sent in a quiet second, without headers. */
  quietBytesPerSecond: number;
  /** Processor time to take in the death of half of the members. */
  herdCpuMs: number;
  /** Sent meanwhile, without headers. */
  herdBytes: number;
}

/** Measures one decision. Needs no `--expose-gc`, but is steadier with it. */
export function measureDecision(members: number): DecisionCost {
  const random = new SeededRandom(members);
  const own = recordOf(0);
  const membership = new Membership(own, START_MS, random);
  const records = Array.from({length: members - 1}, (unused, index) =>
    recordOf(index + 1),
  );
  const sync = syncOf(records);
  const heapBefore = heapBytes();
  let now = START_MS;
  const drive = (input: MembershipInput) =>
    membership.handle(input, now, random);
  const from = {address: '10.9.9.9', port: 1};
  drive({type: 'message', from, message: {type: 'memberSync', body: sync}});
  const heapAfter = heapBytes();
  const meter = new Meter();
  const second = () => {
    for (let tick = 0; tick < 1000 / TICK_MS; tick += 1) {
      now += TICK_MS;
      for (const effect of drive({type: 'tick'})) {
        meter.sent(effect);
        for (const answer of answersTo(effect, own)) drive(answer);
      }
    }
  };
  for (let warmUp = 0; warmUp < QUIET_SECONDS; warmUp += 1) second();
  meter.start();
  for (let count = 0; count < QUIET_SECONDS; count += 1) second();
  const quiet = meter.stop();
  meter.start();
  killHalf(records, input => {
    now += HERD_DATAGRAM_MS;
    for (const effect of drive(input)) meter.sent(effect);
  });
  for (let count = 0; count < HERD_SECONDS; count += 1) second();
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

/** Counts processor time and sent bytes between start and stop. */
class Meter {
  private bytes = 0;
  private cpu = process.cpuUsage();

  start(): void {
    this.bytes = 0;
    this.cpu = process.cpuUsage();
  }

  sent(effect: MembershipEffect): void {
    if (effect.type !== 'send-datagram' && effect.type !== 'send-sync') return;
    this.bytes += encodeMessage(effect.message).length;
  }

  stop(): {cpuMs: number; bytes: number} {
    const {user, system} = process.cpuUsage(this.cpu);
    return {cpuMs: (user + system) / 1000, bytes: this.bytes};
  }
}

/** Each probe is answered, and one comes back for each that goes out. */
function answersTo(
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

function killHalf(
  records: readonly MemberRecord[],
  drive: (input: MembershipInput) => void,
): void {
  const dead = records.filter((unused, index) => index % 2 === 0);
  const alive = records[1] ?? recordOf(1);
  const from = {address: alive.address, port: alive.port};
  for (const code of [1, 2]) {
    for (let at = 0; at < dead.length; at += UPDATES_PER_DATAGRAM) {
      const updates: PackedUpdate[] = dead
        .slice(at, at + UPDATES_PER_DATAGRAM)
        .map(record => [record.id, record.incarnation, code]);
      const body = {from: alive.id, updates};
      const message = {type: 'memberGossip', body} as const;
      drive({type: 'message', from, message});
    }
  }
}

function syncOf(records: readonly MemberRecord[]): MemberSync {
  const members = records.map(packMember);
  const sender = members[0] ?? packMember(recordOf(1));
  const buckets = new Uint8Array();
  return {sender, reply: true, buckets, members, regions: []};
}

function recordOf(number: number): MemberRecord {
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
