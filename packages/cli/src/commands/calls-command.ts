/** `turmericmill calls`: shows outcomes and latencies of calls. */

import type {Result} from '@turmericmill/utils';

import type {CallStatistics, CallSummary} from '../admin/admin-answers.js';
import type {AdminClient} from '../admin/admin-client.js';
import type {CliError} from '../cli-error.js';
import type {CommandOutput} from '../command.js';
import {ADMIN_FLAGS} from '../connection-flags.js';
import {renderTable} from '../output/table.js';
import {AdminCommand} from './admin-command.js';

const SUMMARY_COLUMNS = [
  'ANSWERED',
  'NOT RUN',
  'UNKNOWN',
  'P50 MS',
  'P90 MS',
  'P99 MS',
  'MAX MS',
];

/** Shows the calls that entered the mesh at one node, by customer and class. */
export class CallsCommand extends AdminCommand {
  override readonly name = 'calls';
  override readonly summary = 'show outcomes and latencies of calls';
  override readonly flags = ADMIN_FLAGS;
  override readonly examples = [
    'calls --admin http://10.0.0.1:7073 --token "$TOKEN"',
    'calls --profile nairobi.json --json',
  ];

  protected override async query(
    client: AdminClient,
  ): Promise<Result<CommandOutput, CliError>> {
    const statistics = await client.calls();
    return statistics.map(value => ({value, text: renderCalls(value)}));
  }
}

function renderCalls({sinceMs, customers, classes}: CallStatistics): string {
  return [
    `Calls that entered at this node since ${new Date(sinceMs).toISOString()}`,
    '',
    renderSummaries('CUSTOMER', customers),
    '',
    renderSummaries('CLASS', classes),
  ].join('\n');
}

function renderSummaries(
  subject: string,
  summaries: Record<string, CallSummary>,
): string {
  const rows = Object.entries(summaries).map(([name, summary]) => {
    const {latency} = summary;
    const latencies = [
      latency.p50Ms,
      latency.p90Ms,
      latency.p99Ms,
      latency.maxMs,
    ];
    return [
      name,
      summary.answered,
      summary.notRun,
      summary.unknown,
      ...latencies.map(ms => ms.toFixed(2)),
    ];
  });
  return renderTable([subject, ...SUMMARY_COLUMNS], rows);
}
