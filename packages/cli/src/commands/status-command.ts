/** `turmericmill status`: shows versions in force by data centre. */

import type {Result} from '@turmericmill/utils';

import type {FleetStatus} from '../admin/admin-answers.js';
import type {AdminClient} from '../admin/admin-client.js';
import type {CliError} from '../cli-error.js';
import type {CommandOutput} from '../command.js';
import {ADMIN_FLAGS} from '../connection-flags.js';
import {renderTable} from '../output/table.js';
import {AdminCommand} from './admin-command.js';

/** Shows which versions are in force, and some of the nodes that are behind. */
export class StatusCommand extends AdminCommand {
  override readonly name = 'status';
  override readonly summary = 'show versions in force by data centre';
  override readonly flags = ADMIN_FLAGS;
  override readonly examples = [
    'status --admin http://10.0.0.1:7073 --token "$TOKEN"',
    'status --profile nairobi.json --json',
  ];

  protected override async query(
    client: AdminClient,
  ): Promise<Result<CommandOutput, CliError>> {
    const status = await client.status();
    return status.map(value => ({value, text: renderStatus(value)}));
  }
}

/** Renders the status of the fleet as text. */
export function renderStatus(status: FleetStatus): string {
  const rows = status.dataCentres.flatMap(({dataCentre, nodes, versions}) =>
    Object.entries(versions)
      .sort(([a], [b]) => Number(b) - Number(a))
      .map(([version, count]) => [dataCentre, version, `${count}/${nodes}`]),
  );
  const lines = [
    `Version ${status.version}, digest ${status.digest}`,
    '',
    renderTable(['DATA CENTRE', 'VERSION', 'NODES'], rows),
  ];
  if (status.laggards.length > 0) {
    lines.push('', `Behind: ${status.laggards.join(', ')}`);
  }
  if (status.unreachable.length > 0) {
    lines.push('', `Unreachable: ${status.unreachable.join(', ')}`);
  }
  return lines.join('\n');
}
