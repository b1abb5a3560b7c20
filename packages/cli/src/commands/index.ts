/** The list of commands. */

import type {Command} from '../command.js';
import {CallsCommand} from './calls-command.js';
import {DrainCommand} from './drain-command.js';
import {HistoryCommand} from './history-command.js';
import {PlanCommand} from './plan-command.js';
import {PublishCommand} from './publish-command.js';
import {RollbackCommand} from './rollback-command.js';
import {ServersCommand} from './servers-command.js';
import {ShowCommand} from './show-command.js';
import {StatusCommand} from './status-command.js';
import {TraceCommand} from './trace-command.js';
import {ValidateCommand} from './validate-command.js';

/** All commands, in the order of the help text. */
export const COMMANDS: readonly Command[] = [
  new ValidateCommand(),
  new PlanCommand(),
  new PublishCommand(),
  new StatusCommand(),
  new HistoryCommand(),
  new ShowCommand(),
  new RollbackCommand(),
  new DrainCommand(),
  new ServersCommand(),
  new CallsCommand(),
  new TraceCommand(),
];
