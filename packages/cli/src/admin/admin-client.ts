/** Interface to the administration API of nodes. */

import type {Result} from '@turmericmill/utils';

import type {CliError} from '../cli-error.js';
import type {
  CallStatistics,
  DrainAnswer,
  DrainRequest,
  FleetStatus,
  ServerList,
} from './admin-answers.js';

/** Filter and limit of a list of servers. */
export interface ServerQuery {
  group?: string;
  limit?: number;
}

/** A client of the administration API. */
export abstract class AdminClient {
  abstract status(): Promise<Result<FleetStatus, CliError>>;
  abstract servers(query: ServerQuery): Promise<Result<ServerList, CliError>>;
  abstract calls(): Promise<Result<CallStatistics, CliError>>;

  /** Starts or ends a drain at the node that the request names. */
  abstract drain(
    request: DrainRequest,
    draining: boolean,
  ): Promise<Result<DrainAnswer, CliError>>;
}
