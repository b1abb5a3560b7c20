/** The settings file, read at the start and again when it has changed. */

import {readFileSync} from 'node:fs';

import {
  formatFindings,
  parseHostSettings,
  type HostSettings,
} from '@turmericmill/platform-adapter';
import {Err, Ok, type Result} from '@turmericmill/utils';
import type Logger from 'bunyan';

/** Time in ms between looks at the file; it may change without a signal. */
const LOOK_INTERVAL_MS = 1_000;

/** Reads and checks the file; the error names every wrong field. */
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

/** Watches the file; settings that are refused leave the present ones. */
export class SettingsFile {
  private timer: NodeJS.Timeout | undefined;
  private refused = '';

  constructor(
    private readonly path: string,
    private text: string,
    private readonly logger: Logger,
    private readonly onChanged: (settings: HostSettings) => void,
  ) {}

  watch(): void {
    this.timer = setInterval(() => this.reload(), LOOK_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.timer);
  }

  /** Takes over the file's content if it differs. */
  reload(): void {
    const read = readSettingsFile(this.path);
    if (read.isErr()) {
      if (read.error === this.refused) return;
      this.refused = read.error;
      this.logger.error({err: read.error}, 'settings refused, old ones kept');
      return;
    }
    const {text, settings} = read.value;
    this.refused = '';
    if (text === this.text) return;
    this.text = text;
    this.logger.info('settings reloaded');
    this.onChanged(settings);
  }
}
