import {
  LogClient,
  type LogError,
  type LogPage,
  type Offset,
  type StreamBounds,
} from '@turmericmill/platform';
import {Err, type Result} from '@turmericmill/utils';

const DOWN: LogError = {code: 'unavailable', message: 'The log is down.'};

/** A log service that is down for good. */
export class DownLog extends LogClient {
  override append(): Promise<Result<Offset, LogError>> {
    return Promise.resolve(Err(DOWN));
  }

  override read(): Promise<Result<LogPage, LogError>> {
    return Promise.resolve(Err(DOWN));
  }

  override bounds(): Promise<Result<StreamBounds, LogError>> {
    return Promise.resolve(Err(DOWN));
  }
}
