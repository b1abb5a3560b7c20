/** `turmericmill history`: lists publications and their outcomes. */

import {Ok, type Result} from '@turmericmill/utils';

import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {
  Command,
  type CommandInput,
  type CommandOutput,
  type FlagSpecs,
} from '../command.js';
import {LOG_FLAGS} from '../connection-flags.js';
import type {HistoryEntry} from '../log/config-log.js';
import {renderTable} from '../output/table.js';
import {LogSession} from './log-session.js';
import {TEAM_FLAGS} from './team-flags.js';

const DEFAULT_LIMIT = 20;
const COLUMNS = [
  'OFFSET',
  'RESULT',
  'TEAM',
  'AUTHOR',
  'CHANGES',
  'ID',
  'MESSAGE',
];

/** One row, as printed with `--json`. */
interface HistoryRow {
  offset: number;
  result: string;
  team: string;
  author: string;
  base: number;
  id: string;
  message: string;
  /** Resources written, or resources that the rejection refers to. */
  keys: string[];
}

/** Lists publications, the newest first. */
export class HistoryCommand extends Command {
  override readonly name = 'history';
  override readonly summary = 'list publications and what became of them';
  override readonly flags: FlagSpecs = {
    ...TEAM_FLAGS,
    limit: {
      type: 'number',
      value: 'N',
      summary: `list at most N publications, ${DEFAULT_LIMIT} by default`,
    },
    ...LOG_FLAGS,
  };
  override readonly examples = [
    'history --log http://10.0.0.9:7080',
    'history --team nyota --limit 5 --json',
  ];

  override async run(
    context: CliContext,
    {flags}: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const opened = await LogSession.open(context, flags);
    if (opened.isErr()) return opened;
    const team = flags.text('team');
    const rows = opened.value.log.entries
      .filter(entry => team === undefined || entry.team === team)
      .map(toRow)
      .reverse()
      .slice(0, flags.number('limit') ?? DEFAULT_LIMIT);
    return Ok({value: rows, text: renderRows(rows)});
  }
}

function toRow({verdict, ...entry}: HistoryEntry): HistoryRow {
  if (verdict.status === 'accepted') {
    const keys = verdict.writes.map(write => write.key);
    return {...entry, result: 'accepted', keys};
  }
  return {...entry, result: verdict.reason, keys: verdict.keys};
}

function renderRows(rows: readonly HistoryRow[]): string {
  const cells = rows.map(row => [
    row.offset,
    row.result,
    row.team,
    row.author,
    row.keys.length,
    row.id,
    row.message,
  ]);
  return renderTable(COLUMNS, cells);
}
