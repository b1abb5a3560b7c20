import {
  LogClient,
  type LogError,
  type LogPage,
  type Offset,
  type StreamBounds,
} from '@turmericmill/platform';
import {Err, type Result} from '@turmericmill/utils';

const UNAVAILABLE: LogError = {
  code: 'unavailable',
  message: 'The log service is unavailable.',
};

/** Client of a log service that is permanently unavailable. */
export class UnavailableLog extends LogClient {
  override append(): Promise<Result<Offset, LogError>> {
    return Promise.resolve(Err(UNAVAILABLE));
  }

  override read(): Promise<Result<LogPage, LogError>> {
    return Promise.resolve(Err(UNAVAILABLE));
  }

  override bounds(): Promise<Result<StreamBounds, LogError>> {
    return Promise.resolve(Err(UNAVAILABLE));
  }
}
