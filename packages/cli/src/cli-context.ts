/** Dependencies of commands on their environment; tests replace them. */

import type {SourceFile} from '@turmericmill/config';
import type {LogClient} from '@turmericmill/platform';
import type {Clock, RandomSource, Result} from '@turmericmill/utils';

import type {AdminClient} from './admin/admin-client.js';
import type {CliError} from './cli-error.js';

/** Output of a command. Lines are passed without a line break. */
export interface Writer {
  /** Writes a line of the result. */
  out(line: string): void;
  /** Writes a line of progress or an error. */
  err(line: string): void;
}

/** Reads file sets, profiles and logs. */
export interface FileReader {
  /** Reads all `.json` files below `directory`, ordered by path. */
  readFileSet(directory: string): Promise<Result<SourceFile[], CliError>>;
  readText(file: string): Promise<Result<string, CliError>>;
}

/** Addresses of the log service, and the token for it. */
export interface LogTarget {
  urls: string[];
  token?: string;
}

/** Addresses of the administration API of nodes, and the token for it. */
export interface AdminTarget {
  urls: string[];
  token?: string;
}

/** The environment in which a command runs. */
export interface CliContext {
  writer: Writer;
  files: FileReader;
  env: Readonly<Record<string, string | undefined>>;
  clock: Clock;
  random: RandomSource;
  sleep(ms: number): Promise<void>;
  /** Returns a unique id for a publication. */
  newId(): string;
  openLog(target: LogTarget): LogClient;
  openAdmin(target: AdminTarget): AdminClient;
  /** Closes all connections that this context opened. */
  close(): Promise<void>;
}
