/** JSON lines between a benchmark and its configuration nodes. */

import type {DistributionPreference} from '@turmericmill/distribution';
import type {MemberRecord} from '@turmericmill/wire';

/**
 * How a node receives the configuration. With `poll`, it bypasses distribution
 * and reads the whole set from the log once a second.
 */
export type ConfigNodeMode = DistributionPreference | 'poll';

/** Options of a configuration node. */
export interface ConfigNodeOptions {
  nodeId: string;
  dataCentre: string;
  region: string;
  logUrl: string;
  mode: ConfigNodeMode;
}

/** Line from the benchmark to a node. */
export type ConfigNodeCommand =
  {type: 'members'; members: MemberRecord[]} | {type: 'count'};

/** Line from a node to the benchmark. Times are in ms since the epoch. */
export type ConfigNodeLine =
  | {type: 'ready'; port: number}
  | {type: 'enforced'; version: number; atMs: number}
  | ({type: 'count'} & NodeTraffic);

/** Traffic of a node since its start. */
export interface NodeTraffic {
  controlBytesOut: number;
  messagesOut: number;
  /** Maximum number of fetches received from other nodes in one second. */
  peakFetchesPerSecond: number;
}
