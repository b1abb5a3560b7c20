/** Reads file sets, profiles and logs from disk. */

import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';

import type {SourceFile} from '@turmericmill/config';
import {Err, Ok, type Result} from '@turmericmill/utils';

import type {FileReader} from './cli-context.js';
import type {CliError} from './cli-error.js';

/** Reads from the file system of the operator's machine. */
export class DiskFileReader implements FileReader {
  async readFileSet(
    directory: string,
  ): Promise<Result<SourceFile[], CliError>> {
    try {
      const entries = await readdir(directory, {
        recursive: true,
        withFileTypes: true,
      });
      const paths = entries
        .filter(entry => entry.isFile() && entry.name.endsWith('.json'))
        .map(entry => join(entry.parentPath, entry.name))
        .sort();
      const files = paths.map(async file => ({
        file,
        text: await readFile(file, 'utf8'),
      }));
      return Ok(await Promise.all(files));
    } catch (err) {
      return unreadable(directory, err);
    }
  }

  async readText(file: string): Promise<Result<string, CliError>> {
    try {
      return Ok(await readFile(file, 'utf8'));
    } catch (err) {
      return unreadable(file, err);
    }
  }
}

function unreadable(path: string, err: unknown): Result<never, CliError> {
  const reason = err instanceof Error ? err.message : String(err);
  return Err({exit: 'usage', message: `Cannot read ${path}: ${reason}`});
}
