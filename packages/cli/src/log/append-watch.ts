/** Notes whether an append can have had an effect. */

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

/** Passes all calls on. */
export class AppendWatch extends LogClient {
  /** False while every append was provably not taken. */
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
