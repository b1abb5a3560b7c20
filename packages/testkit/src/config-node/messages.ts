/** Lines of JSON between a benchmark and its configuration nodes. */

import type {DistributionPreference} from '@turmericmill/distribution';
import type {MemberRecord} from '@turmericmill/wire';

/** `poll` nodes read the whole set from the log once a second instead. */
export type ConfigNodeMode = DistributionPreference | 'poll';

/** How a configuration node is started. */
export interface ConfigNodeOptions {
  nodeId: string;
  dataCentre: string;
  region: string;
  logUrl: string;
  mode: ConfigNodeMode;
}

/** From the benchmark to a node. */
export type ConfigNodeCommand =
  {type: 'members'; members: MemberRecord[]} | {type: 'count'};

/** From a node to the benchmark. Times in ms since the epoch. */
export type ConfigNodeLine =
  | {type: 'ready'; port: number}
  | {type: 'enforced'; version: number; atMs: number}
  | ({type: 'count'} & NodeTraffic);

/** What a node has done since its start. */
export interface NodeTraffic {
  controlBytesOut: number;
  messagesOut: number;
  /** Most fetches of other nodes that arrived in one second. */
  peakFetchesPerSecond: number;
}
