/** Effects that the configuration agent returns to the task that calls it. */

import type {ResourceWrite} from '@turmericmill/config';
import type {Message} from '@turmericmill/wire';

import type {RejectedVerdict} from '../fold/fold-record.js';
import type {LogCall} from '../relay/log-call.js';
import type {ConfigVersion} from '../replica/config-version.js';

/** An effect of the configuration agent. */
export type ConfigEffect =
  | {type: 'send'; to: string; message: Message}
  /** Swap the routing table; `writes` is null if all resources were replaced. */
  | {
      type: 'enforce';
      version: ConfigVersion;
      writes: ResourceWrite[] | null;
      acceptedAtMs: number;
    }
  /** Call the log and pass the result to `onLogResult` with `callId`. */
  | {type: 'log'; callId: number; call: LogCall}
  /** The node may serve from now on. */
  | {type: 'settled'; version: number}
  /** A publication was rejected; to be logged. */
  | {type: 'rejected'; verdict: RejectedVerdict}
  /** A fault to report to operators. */
  | {type: 'alarm'; message: string};
