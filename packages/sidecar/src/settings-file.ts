/** Reads the settings file at the start and whenever it has changed. */

import {readFileSync} from 'node:fs';

import {
  formatFindings,
  parseHostSettings,
  type HostSettings,
} from '@turmericmill/platform-adapter';
import {Err, Ok, type Result} from '@turmericmill/utils';
import type Logger from 'bunyan';

/** Interval in ms between checks for a change that no SIGHUP announces. */
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

/** Watches the file; keeps the settings in force if new ones are invalid. */
export class SettingsFile {
  private timer: NodeJS.Timeout | undefined;
  /** Error that has been logged already; empty while the file is valid. */
  private loggedError = '';

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
      if (read.error === this.loggedError) return;
      this.loggedError = read.error;
      this.logger.error(
        {err: read.error},
        'changed settings refused; the settings in force stay',
      );
      return;
    }
    const {text, settings} = read.value;
    this.loggedError = '';
    if (text === this.text) return;
    this.text = text;
    this.logger.info('settings reloaded');
    this.onChanged(settings);
  }
}
