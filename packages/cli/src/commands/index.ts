/** All commands, in the order of the help text. */

import type {Command} from '../command.js';
import {CallsCommand} from './calls-command.js';
import {DrainCommand} from './drain-command.js';
import {ServersCommand} from './servers-command.js';
import {StatusCommand} from './status-command.js';

/** Every command of the program. */
export const COMMANDS: readonly Command[] = [
  new StatusCommand(),
  new ServersCommand(),
  new CallsCommand(),
  new DrainCommand(),
];
