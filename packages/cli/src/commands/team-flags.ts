/** Flags shared by the commands on a team's namespace. */

import type {FlagSpecs} from '../command.js';

/** Selects the team. */
export const TEAM_FLAGS: FlagSpecs = {
  team: {
    type: 'string',
    value: 'TEAM',
    summary: 'namespace of the file set (TURMERICMILL_TEAM)',
  },
};

/** Flags of commands that publish. */
export const PUBLISH_FLAGS: FlagSpecs = {
  ...TEAM_FLAGS,
  author: {
    type: 'string',
    value: 'NAME',
    summary: 'name for the history (TURMERICMILL_AUTHOR)',
  },
  message: {
    type: 'string',
    value: 'TEXT',
    summary: 'note for the history',
  },
  wait: {
    type: 'boolean',
    summary: 'wait until it is in force everywhere; needs --admin',
  },
  timeout: {
    type: 'number',
    value: 'SECONDS',
    summary: 'longest wait of --wait, 30 by default',
  },
};
