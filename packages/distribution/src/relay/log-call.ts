/** Calls to the log service that the configuration agent requests. */

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

/** The result of a call; the type of its value depends on the call. */
export type LogReply = Result<LogPage | StreamBounds | Offset, LogError>;
