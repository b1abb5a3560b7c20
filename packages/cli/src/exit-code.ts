/** Exit codes of the command line. They are part of its interface. */

/** The possible outcomes of a command. */
export type ExitName =
  | 'ok'
  | 'refused'
  | 'usage'
  | 'unreachable'
  | 'conflict'
  | 'wait-timed-out'
  | 'outcome-unknown'
  | 'unauthorized'
  | 'not-found'
  | 'internal';

interface ExitEntry {
  code: number;
  meaning: string;
}

/** Number and meaning of each exit. */
export const EXITS: Readonly<Record<ExitName, ExitEntry>> = {
  ok: {code: 0, meaning: 'done'},
  refused: {code: 1, meaning: 'findings in the input, or refused as invalid'},
  usage: {code: 2, meaning: 'wrong command line, profile or environment'},
  unreachable: {code: 3, meaning: 'log service or node not reached'},
  conflict: {code: 4, meaning: 'another publication came first'},
  'wait-timed-out': {code: 5, meaning: 'accepted, not yet in force everywhere'},
  'outcome-unknown': {
    code: 6,
    meaning: 'the log may have taken the publication; see `history`',
  },
  unauthorized: {code: 7, meaning: 'the access token was refused'},
  'not-found': {code: 8, meaning: 'no such version, resource or server'},
  internal: {code: 70, meaning: 'a fault of this program'},
};
