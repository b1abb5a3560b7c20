/** Options, reading and publishing, shared by the commands on the log. */

import type {ResourceWrite} from '@turmericmill/config';
import type {LogClient} from '@turmericmill/platform';
import {Err, Ok, type Result} from '@turmericmill/utils';

import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import type {CommandOutput, FlagValues} from '../command.js';
import {ConnectionOptions} from '../connection-flags.js';
import {ConfigLog} from '../log/config-log.js';
import {
  waitUntilInForce,
  type InForceWaitContext,
} from '../log/in-force-wait.js';
import {Publisher} from '../log/publisher.js';

const DEFAULT_WAIT_S = 30;
const DEFAULT_AUTHOR = 'unknown';

/** The changes to publish. */
export interface PublishRequest {
  team: string;
  base: number;
  writes: ResourceWrite[];
  message: string | undefined;
}

/** An open log whose configuration stream was read to its end. */
export class LogSession {
  private constructor(
    private readonly context: CliContext,
    private readonly flags: FlagValues,
    readonly options: ConnectionOptions,
    private readonly client: LogClient,
    readonly log: ConfigLog,
  ) {}

  static async open(
    context: CliContext,
    flags: FlagValues,
  ): Promise<Result<LogSession, CliError>> {
    const options = await ConnectionOptions.load(context, flags);
    if (options.isErr()) return options;
    const client = options.value.openLog();
    if (client.isErr()) return client;
    const log = new ConfigLog(client.value);
    const read = await log.catchUp();
    return read.map(
      () => new LogSession(context, flags, options.value, client.value, log),
    );
  }

  /** Publishes and, with `--wait`, waits until the version is in force. */
  async publish(
    request: PublishRequest,
  ): Promise<Result<CommandOutput, CliError>> {
    const waitContext = await this.prepareWait();
    if (waitContext.isErr()) return waitContext;
    const {message, ...change} = request;
    const published = await new Publisher(
      this.context,
      this.client,
      this.log,
    ).publish({
      id: this.context.newId(),
      author: this.options.text('author') ?? DEFAULT_AUTHOR,
      ...change,
      ...(message === undefined ? {} : {message}),
    });
    if (published.isErr()) return published;
    const {version} = published.value;
    const text = `Accepted as version ${version}.`;
    if (!waitContext.value) return Ok({value: published.value, text});
    this.context.writer.err(text);
    const timeoutS = this.flags.number('timeout') ?? DEFAULT_WAIT_S;
    const waited = await waitUntilInForce(
      waitContext.value,
      version,
      timeoutS * 1000,
    );
    return waited.map(inForce => ({
      value: {...published.value, ...inForce},
      text: `Version ${version} is in force everywhere.`,
    }));
  }

  /** With `--wait`, checks before publishing that a node can be queried. */
  private async prepareWait(): Promise<
    Result<InForceWaitContext | undefined, CliError>
  > {
    if (!this.flags.isSet('wait')) return Ok(undefined);
    const admin = this.options.openAdmin();
    if (admin.isErr()) return admin;
    const status = await admin.value.status();
    if (status.isErr()) {
      const {exit} = status.error;
      const message = `Nothing was published: ${status.error.message}`;
      return Err({exit, message});
    }
    const {clock, writer} = this.context;
    return Ok({
      admin: admin.value,
      clock,
      sleep: ms => this.context.sleep(ms),
      onProgress: line => writer.err(line),
    });
  }
}
