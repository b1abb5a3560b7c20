/** A caller's request in progress, and how it ended. */

import type {PrefixRoute} from '@turmericmill/config';
import {
  deadlinePassed,
  type AttemptEnd,
  type CallFailure,
} from '@turmericmill/node';
import type {FlatHeaders} from '@turmericmill/wire';

import type {CallerRequest, ClosedBy} from './caller-request.js';

/** A request whose route is known. */
export interface RoutedRequest {
  caller: CallerRequest;
  route: PrefixRoute;
  service: string;
  method: string;
  path: string;
  /** Headers to forward. */
  headers: FlatHeaders;
  body: Uint8Array;
  /** Service on this host that sent the request. */
  callerService: string;
  fingerprint: string;
  /** Rank by tenant and route; 0 is the most urgent. */
  rank: number;
  /** Name of the tenant whose key the request carried. */
  tenant?: string | undefined;
  /** Digest of the request's key. */
  keyDigest?: string | undefined;
  /** Time in ms by which the caller wants the answer. */
  targetMs: number;
  /** Time in ms at which the request times out. */
  deadlineMs: number;
}

/** The server that a request was offered to, and the node on the same host. */
export interface AskedServer {
  nodeId: string;
  serverId: string;
}

/** How a request ended for its caller. */
export type RequestEnd =
  | {kind: 'answered'; status: number; tries: number}
  | FailedEnd
  | CutEnd
  | DisconnectedEnd;

/** No server has answered; the node sends its own answer. */
export interface FailedEnd {
  kind: 'failed';
  failure: CallFailure;
  tries: number;
  mayHaveRun: boolean;
  /** Server that got the last offer; undefined without one. */
  asked: AskedServer | undefined;
}

/** The answer broke off after part of it had been forwarded. */
export interface CutEnd {
  kind: 'cut';
  failure: CallFailure;
  tries: number;
  /** Bytes of the answer's body that were forwarded. */
  bytes: number;
  asked: AskedServer;
}

/** The caller's connection closed before the answer was complete. */
export interface DisconnectedEnd {
  kind: 'left';
  tries: number;
  /** Bytes of the answer's body that were forwarded. */
  bytes: number;
  closedBy: ClosedBy;
}

/** Returns the end of a request that its last attempt has decided. */
export function requestEndOf(
  end: Exclude<AttemptEnd, {kind: 'failed'}>,
  {bytesWritten: bytes, closedBy}: CallerRequest,
  tries: number,
  asked: AskedServer,
): RequestEnd {
  switch (end.kind) {
    case 'answered':
      return {kind: 'answered', status: end.status, tries};
    case 'cut':
      return {kind: 'cut', failure: end.failure, tries, bytes, asked};
    case 'left':
      return {kind: 'left', tries, bytes, closedBy};
  }
}

/** Turns the end of an attempt that the node has cancelled into a failure. */
export function failureIfCancelled(
  {caller}: RoutedRequest,
  end: RequestEnd,
): RequestEnd {
  if (end.kind !== 'left' || caller.hasDisconnected || !caller.isCancelled) {
    return end;
  }
  const detail = 'The node shut down before an answer arrived.';
  const failure = {...deadlinePassed(), detail};
  const {tries} = end;
  return {kind: 'failed', failure, tries, mayHaveRun: true, asked: undefined};
}
