/** One request of a caller on its way, and how it ended. */

import type {PrefixRoute} from '@turmericmill/config';
import type {CallFailure} from '@turmericmill/node';
import type {FlatHeaders} from '@turmericmill/wire';

import type {CallerRequest} from './caller-request.js';

/** A request whose route is known. */
export interface RoutedRequest {
  caller: CallerRequest;
  route: PrefixRoute;
  service: string;
  method: string;
  path: string;
  headers: FlatHeaders;
  body: Uint8Array;
  /** Service beside which the request began. */
  callerService: string;
  fingerprint: string;
  /** Time in ms by which the caller wants the answer. */
  targetMs: number;
  /** Time in ms at which the request is given up. */
  deadlineMs: number;
}

/** How a request ended for its caller. */
export type RequestEnd =
  | {kind: 'answered'; status: number; tries: number}
  | {kind: 'failed'; failure: CallFailure; tries: number; mayHaveRun: boolean}
  | {kind: 'cut'; tries: number}
  | {kind: 'left'; tries: number};
