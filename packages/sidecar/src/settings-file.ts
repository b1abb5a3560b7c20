/** Reads the settings file at the start and whenever it has changed. */

import {readFileSync} from 'node:fs';

import {
  formatFindings,
  parseHostSettings,
  type HostSettings,
} from '@turmericmill/platform-adapter';
import {Err, Ok, type Result} from '@turmericmill/utils';
import type Logger from 'bunyan';

/** Interval in ms between checks of the file, which may change silently. */
const CHECK_INTERVAL_MS = 1_000;

/** Reads and validates the file; the error names every invalid field. */
export function readSettingsFile(
  path: string,
): Result<{text: string; settings: HostSettings}, string> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (err) {
    return Err(`${path} cannot be read: ${String(err)}`);
  }
  const settings = parseHostSettings(text);
  if (settings.isErr()) {
    return Err(`${path}: ${formatFindings(settings.error)}`);
  }
  return Ok({text, settings: settings.value});
}

/** Watches the file; the settings in force stay if changed ones are refused. */
export class SettingsFile {
  private timer: NodeJS.Timeout | undefined;
  private refusedError = '';

  constructor(
    private readonly path: string,
    private text: string,
    private readonly logger: Logger,
    private readonly onChanged: (settings: HostSettings) => void,
  ) {}

  watch(): void {
    this.timer = setInterval(() => this.reload(), CHECK_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.timer);
  }

  /** Reads the file and applies its settings if they have changed. */
  reload(): void {
    const read = readSettingsFile(this.path);
    if (read.isErr()) {
      if (read.error === this.refusedError) return;
      this.refusedError = read.error;
      this.logger.error(
        {err: read.error},
        'changed settings refused; the settings in force stay',
      );
      return;
    }
    const {text, settings} = read.value;
    this.refusedError = '';
    if (text === this.text) return;
    this.text = text;
    this.logger.info('settings reloaded');
    this.onChanged(settings);
  }
}
