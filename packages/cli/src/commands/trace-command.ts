/** `turmericmill trace`: shows what determined the outcome of one request. */

import type {SourceFile} from '@turmericmill/config';
import {Err, formatFinding, Ok, type Result} from '@turmericmill/utils';

import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {Command, type CommandInput, type CommandOutput} from '../command.js';
import {renderTable} from '../output/table.js';
import {parseLog} from '../trace/log-line.js';
import {traceRequest, type TraceEntry} from '../trace/request-trace.js';

const COLUMNS = ['TIME', 'NODE', 'EVENT', 'DECIDED BY'];

/** Merges what the logs of several nodes contain about one request. */
export class TraceCommand extends Command {
  override readonly name = 'trace';
  override readonly summary = 'show what the logs of nodes tell of a request';
  override readonly args = ['REQUEST-ID', 'FILE...'];
  override readonly examples = [
    'trace e4abec7ae253f51c node-1.log node-2.log',
    'trace e4abec7ae253f51c node-*.log --json',
  ];

  override async run(
    context: CliContext,
    {args}: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const [requestId = '', ...names] = args;
    const files: SourceFile[] = [];
    for (const file of names) {
      const text = await context.files.readText(file);
      if (text.isErr()) return text;
      files.push({file, text: text.value});
    }
    const {lines, findings} = parseLog(files);
    // Damaged lines must not hide the content of the others.
    for (const finding of findings) context.writer.err(formatFinding(finding));
    const entries = traceRequest(lines, requestId);
    if (entries.length === 0) {
      const count = `${lines.length} lines of ${files.length} files`;
      const message = `No line of request ${requestId} among ${count}.`;
      return Err({exit: 'not-found', message});
    }
    return Ok({value: entries, text: renderEntries(entries)});
  }
}

function renderEntries(entries: readonly TraceEntry[]): string {
  const rows = entries.map(({timeMs, nodeId, event, isContext, details}) => [
    new Date(timeMs).toISOString(),
    nodeId,
    isContext ? `(${event})` : event,
    renderDetails(details),
  ]);
  return renderTable(COLUMNS, rows);
}

function renderDetails(details: Readonly<Record<string, unknown>>): string {
  return Object.entries(details)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');
}
