/** A log client that records whether an append may have had an effect. */

import {
  LogClient,
  type LogError,
  type LogPage,
  type Offset,
  type ReadOptions,
  type StreamBounds,
  type StreamName,
} from '@turmericmill/platform';
import type {Result} from '@turmericmill/utils';

/** Forwards all calls to `client`. */
export class AppendTracker extends LogClient {
  /** False as long as every append provably had no effect. */
  mayHaveEffect = false;

  constructor(private readonly client: LogClient) {
    super();
  }

  override async append(
    stream: StreamName,
    body: string,
  ): Promise<Result<Offset, LogError>> {
    const result = await this.client.append(stream, body);
    if (result.isOk() || result.error.code === 'outcome-unknown') {
      this.mayHaveEffect = true;
    }
    return result;
  }

  override read(
    stream: StreamName,
    from: Offset,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    return this.client.read(stream, from, options);
  }

  override bounds(stream: StreamName): Promise<Result<StreamBounds, LogError>> {
    return this.client.bounds(stream);
  }
}
