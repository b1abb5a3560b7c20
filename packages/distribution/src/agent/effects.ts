/** What the configuration agent asks its task to do. */

import type {ResourceWrite} from '@turmericmill/config';
import type {Message} from '@turmericmill/wire';

import type {RejectedVerdict} from '../fold/fold-record.js';
import type {LogCall} from '../relay/log-call.js';
import type {ConfigVersion} from '../replica/config-version.js';

/** An effect of the configuration agent. */
export type ConfigEffect =
  | {type: 'send'; to: string; message: Message}
  /** Swap the table; `writes` is null when the whole set was replaced. */
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
  /** A publication was rejected; for the node's log. */
  | {type: 'rejected'; verdict: RejectedVerdict}
  /** Something that operators should know. */
  | {type: 'alarm'; message: string};
