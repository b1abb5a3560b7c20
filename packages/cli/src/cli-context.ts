/** What commands use of the world, so that tests can replace it. */

import type {SourceFile} from '@turmericmill/config';
import type {LogClient} from '@turmericmill/platform';
import type {Clock, RandomSource, Result} from '@turmericmill/utils';

import type {AdminClient} from './admin/admin-client.js';
import type {CliError} from './cli-error.js';

/** Where a command writes; lines come without their end. */
export interface Writer {
  /** Results. */
  out(line: string): void;
  /** Progress and errors. */
  err(line: string): void;
}

/** Reads what operators keep on disk. */
export interface FileReader {
  /** All `.json` files below `directory`, in path order. */
  readFileSet(directory: string): Promise<Result<SourceFile[], CliError>>;
  readText(file: string): Promise<Result<string, CliError>>;
}

/** Where the log service is. */
export interface LogTarget {
  urls: string[];
  token?: string;
}

/** Where nodes are administered. */
export interface AdminTarget {
  urls: string[];
  token?: string;
}

/** The world of a command. */
export interface CliContext {
  writer: Writer;
  files: FileReader;
  env: Readonly<Record<string, string | undefined>>;
  clock: Clock;
  random: RandomSource;
  sleep(ms: number): Promise<void>;
  /** A name that no other publication has. */
  newId(): string;
  openLog(target: LogTarget): LogClient;
  openAdmin(target: AdminTarget): AdminClient;
  /** Releases connections opened by this context. */
  close(): Promise<void>;
}
