/** Flags for the log service and the nodes, and values of options. */

import {
  Err,
  JsonDocument,
  Ok,
  SchemaCheck,
  type Result,
} from '@turmericmill/utils';

import type {AdminClient} from './admin/admin-client.js';
import type {CliContext, LogTarget} from './cli-context.js';
import type {CliError} from './cli-error.js';
import type {FlagSpecs, FlagValues} from './command.js';
import type {LogClient} from '@turmericmill/platform';

/** Flags of commands that use the log service. */
export const LOG_FLAGS: FlagSpecs = {
  log: {
    type: 'string',
    value: 'URL',
    isMultiple: true,
    summary: 'log service, http://IP:PORT (TURMERICMILL_LOG)',
  },
  logToken: {
    type: 'string',
    value: 'TOKEN',
    summary: 'token for the log service (TURMERICMILL_LOG_TOKEN)',
  },
};

/** Flags of commands that use the administration API. */
export const ADMIN_FLAGS: FlagSpecs = {
  admin: {
    type: 'string',
    value: 'URL',
    isMultiple: true,
    summary: 'administration API of a node (TURMERICMILL_ADMIN)',
  },
  token: {
    type: 'string',
    value: 'TOKEN',
    summary: 'token for the administration API (TURMERICMILL_TOKEN)',
  },
};

/** Content of a profile file: default values of flags. */
interface Profile {
  team?: string;
  author?: string;
  log?: string[];
  logToken?: string;
  admin?: string[];
  token?: string;
}

const URLS = {type: 'array', minItems: 1, items: {type: 'string'}};
const TEXT = {type: 'string', minLength: 1};
const PROFILE_CHECK = new SchemaCheck<Profile>({
  type: 'object',
  additionalProperties: false,
  properties: {
    team: TEXT,
    author: TEXT,
    log: URLS,
    logToken: TEXT,
    admin: URLS,
    token: TEXT,
  },
});

/** Option values. Precedence: flags, then environment, then profile. */
export class ConnectionOptions {
  private constructor(
    private readonly context: CliContext,
    private readonly flags: FlagValues,
    private readonly profile: Profile,
  ) {}

  static async load(
    context: CliContext,
    flags: FlagValues,
  ): Promise<Result<ConnectionOptions, CliError>> {
    const file = flags.text('profile') ?? context.env['TURMERICMILL_PROFILE'];
    if (file === undefined) {
      return Ok(new ConnectionOptions(context, flags, {}));
    }
    const read = await context.files.readText(file);
    return read
      .andThen(text => parseProfile(file, text))
      .map(profile => new ConnectionOptions(context, flags, profile));
  }

  /** Returns the value of a text option, or undefined. */
  text(name: 'team' | 'author' | 'token' | 'logToken'): string | undefined {
    return (
      this.flags.text(name) ??
      this.context.env[variableName(name)] ??
      this.profile[name]
    );
  }

  /** Returns the value of `team`; a usage error if it is not given. */
  team(): Result<string, CliError> {
    const team = this.text('team');
    return team === undefined ? missingOption('team', 'team') : Ok(team);
  }

  /** Whether a log service is given. */
  hasLog(): boolean {
    return this.urls('log').length > 0;
  }

  /** Opens the log service; a usage error if none is given. */
  openLog(): Result<LogClient, CliError> {
    const urls = this.urls('log');
    if (urls.length === 0) return missingOption('log service', 'log');
    const target: LogTarget = {urls};
    const token = this.text('logToken');
    if (token !== undefined) target.token = token;
    return Ok(this.context.openLog(target));
  }

  /** Opens the administration API; a usage error if none is given. */
  openAdmin(): Result<AdminClient, CliError> {
    const urls = this.urls('admin');
    if (urls.length === 0) return missingOption('administration API', 'admin');
    const token = this.text('token');
    const target = token === undefined ? {urls} : {urls, token};
    return Ok(this.context.openAdmin(target));
  }

  private urls(name: 'log' | 'admin'): string[] {
    const given = this.flags.texts(name);
    if (given.length > 0) return given;
    const variable = this.context.env[variableName(name)];
    if (variable !== undefined) return variable.split(',');
    return this.profile[name] ?? [];
  }
}

function parseProfile(file: string, text: string): Result<Profile, CliError> {
  return JsonDocument.parse(file, text)
    .andThen(document => PROFILE_CHECK.check(document))
    .mapErr(findings => ({
      exit: 'usage',
      message: 'The profile is invalid.',
      findings,
    }));
}

function variableName(flag: string): string {
  const words = flag.replace(/[A-Z]/g, letter => `_${letter}`);
  return `TURMERICMILL_${words.toUpperCase()}`;
}

function missingOption(subject: string, flag: string): Result<never, CliError> {
  const message =
    `No ${subject} given: use --${flag}, ${variableName(flag)} ` +
    'or a profile.';
  return Err({exit: 'usage', message});
}
