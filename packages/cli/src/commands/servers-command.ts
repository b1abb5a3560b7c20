/** `turmericmill servers`: lists the backend servers of the mesh. */

import type {Result} from '@turmericmill/utils';

import type {ServerList} from '../admin/admin-answers.js';
import type {AdminClient, ServerQuery} from '../admin/admin-client.js';
import type {CliError} from '../cli-error.js';
import type {CommandInput, CommandOutput, FlagSpecs} from '../command.js';
import {ADMIN_FLAGS} from '../connection-flags.js';
import {renderTable} from '../output/table.js';
import {AdminCommand} from './admin-command.js';

const COLUMNS = [
  'NODE/SERVER',
  'DATA CENTRE',
  'GROUP',
  'STATE',
  'NODE STATUS',
  'SLOTS',
  'CONNECTIONS',
];

/** Lists the backend servers that are announced. */
export class ServersCommand extends AdminCommand {
  override readonly name = 'servers';
  override readonly summary = 'list the backend servers that are announced';
  override readonly flags: FlagSpecs = {
    ...ADMIN_FLAGS,
    group: {
      type: 'string',
      value: 'TEAM/NAME',
      summary: 'only the servers of this group',
    },
    limit: {type: 'number', value: 'N', summary: 'list at most N servers'},
  };
  override readonly examples = [
    'servers --profile nairobi.json',
    'servers --profile nairobi.json --group nyota/homeowner-api --json',
  ];

  protected override async query(
    client: AdminClient,
    {flags}: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const query: ServerQuery = {};
    const group = flags.text('group');
    const limit = flags.number('limit');
    if (group !== undefined) query.group = group;
    if (limit !== undefined) query.limit = limit;
    const list = await client.servers(query);
    return list.map(value => ({value, text: renderServers(value)}));
  }
}

function renderServers({total, servers}: ServerList): string {
  const rows = servers.map(row => [
    `${row.node}/${row.server}`,
    row.dataCentre,
    row.group,
    row.state,
    row.nodeStatus,
    row.slots,
    row.connections,
  ]);
  const count = `${servers.length} of ${total} servers`;
  return `${renderTable(COLUMNS, rows)}\n\n${count}`;
}
