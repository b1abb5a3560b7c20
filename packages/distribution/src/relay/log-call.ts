/** Calls to the log that decisions ask for. */

import type {
  LogError,
  LogPage,
  Offset,
  StreamBounds,
  StreamName,
} from '@turmericmill/platform';
import type {Result} from '@turmericmill/utils';

/** A call to the log service. */
export type LogCall =
  | {
      call: 'read';
      stream: StreamName;
      from: Offset;
      limit: number;
      waitMs: number;
    }
  | {call: 'bounds'; stream: StreamName}
  | {call: 'append'; stream: StreamName; body: string};

/** What a call returned; its type follows from the call. */
export type LogReply = Result<LogPage | StreamBounds | Offset, LogError>;
