/** All messages between nodes, with their body types and ids on the wire. */

import type * as calls from './messages/calls.js';
import type * as claims from './messages/claims.js';
import type * as configuration from './messages/configuration.js';
import type * as membership from './messages/membership.js';
import type * as operations from './messages/operations.js';
import type * as quota from './messages/quota.js';
import type * as rollouts from './messages/rollouts.js';
import type * as session from './messages/session.js';

/** Lowest and highest protocol version that this build supports. */
export const MIN_PROTOCOL_VERSION = 1;
export const MAX_PROTOCOL_VERSION = 1;

/** Body type of each message. */
export interface MessageBodies {
  hello: session.Hello;
  goodbye: session.Goodbye;
  ping: session.Ping;
  pong: session.Pong;
  probe: membership.Probe;
  probeRequest: membership.ProbeRequest;
  probeAck: membership.ProbeAck;
  memberSync: membership.MemberSync;
  memberGossip: membership.MemberGossip;
  memberDigest: membership.MemberDigest;
  configHave: configuration.ConfigHave;
  configFetch: configuration.ConfigFetch;
  configDelta: configuration.ConfigDelta;
  configSnapshotPart: configuration.ConfigSnapshotPart;
  configBusy: configuration.ConfigBusy;
  versionReport: configuration.VersionReport;
  fleetQuery: configuration.FleetQuery;
  fleetReply: configuration.VersionReport;
  configNotice: configuration.ConfigNotice;
  configAsk: configuration.ConfigAsk;
  callStart: calls.CallStart;
  callData: calls.CallData;
  callWindow: calls.CallWindow;
  callCancel: calls.CallCancel;
  answerStart: calls.AnswerStart;
  answerData: calls.AnswerData;
  answerWindow: calls.CallWindow;
  answerFailed: calls.AnswerFailed;
  claimRequest: claims.ClaimRequest;
  claimReply: claims.ClaimReply;
  claimOutcome: claims.ClaimOutcome;
  crashReport: operations.CrashReport;
  quarantine: operations.Quarantine;
  suspectCleared: operations.SuspectCleared;
  usageReport: operations.UsageReport;
  usageTotals: operations.UsageTotals;
  quotaAsk: quota.QuotaAsk;
  quotaGrant: quota.QuotaGrant;
  rolloutState: rollouts.RolloutState;
  rolloutEvidence: rollouts.RolloutEvidence;
  rolloutClosed: rollouts.RolloutClosed;
}

export type MessageName = keyof MessageBodies;

/** Message ids on the wire: never change or reuse one. */
export const MESSAGE_IDS: Readonly<Record<MessageName, number>> = {
  hello: 1,
  goodbye: 2,
  ping: 3,
  pong: 4,
  probe: 10,
  probeRequest: 11,
  probeAck: 12,
  memberSync: 13,
  memberGossip: 14,
  memberDigest: 15,
  configHave: 20,
  configFetch: 21,
  configDelta: 22,
  configSnapshotPart: 23,
  configBusy: 24,
  versionReport: 25,
  fleetQuery: 26,
  fleetReply: 27,
  configNotice: 28,
  configAsk: 29,
  callStart: 30,
  callData: 31,
  callWindow: 32,
  callCancel: 33,
  answerStart: 34,
  answerData: 35,
  answerWindow: 36,
  answerFailed: 37,
  claimRequest: 40,
  claimReply: 41,
  claimOutcome: 42,
  crashReport: 50,
  quarantine: 51,
  suspectCleared: 52,
  usageReport: 60,
  usageTotals: 61,
  quotaAsk: 65,
  quotaGrant: 66,
  rolloutState: 62,
  rolloutEvidence: 63,
  rolloutClosed: 64,
};

/** A message of type `K`. */
export interface MessageOf<K extends MessageName> {
  type: K;
  body: MessageBodies[K];
}

/** Any message, discriminated by `type`. */
export type Message = {[K in MessageName]: MessageOf<K>}[MessageName];

const NAMES_BY_ID = new Map<number, MessageName>(
  Object.entries(MESSAGE_IDS).map(([name, id]) => [id, name as MessageName]),
);

/** Returns the name of the message with this id; undefined if unknown. */
export function messageName(id: number): MessageName | undefined {
  return NAMES_BY_ID.get(id);
}
