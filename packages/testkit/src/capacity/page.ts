/** Layout of the capacity page. */

import {budgetCells, budgetRows} from './budget.js';
import {DERIVED, DESIGN_SIZE, NODE_BUDGET} from './design-size.js';
import {failureRows} from './failures.js';
import {
  FigureCalculator,
  formatFigure,
  formatNumber,
  type Figure,
} from './figures.js';
import {limitsList} from './limits.js';
import {controlBytes, measuredControlBytes} from './node-cost.js';
import {roleRows} from './roles.js';
import type {Slopes} from './slopes.js';

/** Renders the page as Markdown. */
export function renderPage(slopes: Slopes): string {
  const calculator = new FigureCalculator(slopes);
  return [
    '# Capacity',
    `Written by \`npm run capacity\` from
[measurements/slopes.json](measurements/slopes.json); do not edit. A figure is
worked out from slopes that benchmarks have measured on one machine, or counted
by encoding messages; what no benchmark has measured yet says so. Sizes beyond
the fleets measured are extrapolated along a straight line.`,
    sizeSection(),
    rolesSection(calculator),
    bytesSection(calculator),
    budgetSection(calculator),
    failuresSection(calculator),
    limitsSection(calculator, slopes),
    slopesSection(slopes),
  ].join('\n\n');
}

function sizeSection(): string {
  const rows = [
    ['servers, each with its node', formatNumber(DESIGN_SIZE.servers)],
    [
      'regions, data centres',
      `${DESIGN_SIZE.regions}, ${DESIGN_SIZE.dataCentres}`,
    ],
    ['members of a region', String(DERIVED.membersPerRegion)],
    ['hosts of a data centre', String(DERIVED.hostsPerDataCentre)],
    ['calls a second for each node', String(DERIVED.callsPerNode)],
    ['changes of configuration a second', DERIVED.changesPerSecond.toFixed(2)],
    [
      'budget of a node for control',
      `${NODE_BUDGET.cpuPercent}% of a core, ${NODE_BUDGET.memoryMiB} MiB, ${NODE_BUDGET.bytesPerSecond} B/s`,
    ],
  ];
  return `## Size\n\n${table(['what', 'how much'], rows)}`;
}

function rolesSection(calculator: FigureCalculator): string {
  const header = [
    'role',
    'nodes',
    'state',
    'messages',
    'processor',
    'memory',
    'mechanism',
    'measured by',
  ];
  const rows = roleRows(calculator).map(row => [
    row.role,
    row.nodes,
    row.state,
    row.messages,
    row.cpu,
    row.memory,
    row.mechanism,
    row.measuredBy,
  ]);
  const text = `The command behind each name in the last column stands in the table of
slopes.`;
  return `## Roles\n\n${table(header, rows)}\n\n${text}`;
}

function budgetSection(calculator: FigureCalculator): string {
  const header = ['role', 'processor', 'memory', 'bytes sent', 'holds'];
  const rows = budgetRows(calculator).map(budgetCells);
  const text = `Each row includes what every node does. Processor time is an upper bound: a
quiet whole node, membership and configuration were measured as processes of
their own, each with its transport, configuration at one change a second, which
is twice what the size asks for; inner nodes and relays count as the busiest
node of that fleet. Calls are not part of it. Bytes are those sent,
at the mean rate of changes of a day.`;
  return `## Within the budget of a node\n\n${text}\n\n${table(header, rows)}`;
}

function bytesSection(calculator: FigureCalculator): string {
  const parts = controlBytes(calculator);
  const sum = measuredControlBytes(calculator);
  const rows = Object.entries(parts).map(([name, part]) => [
    name,
    formatFigure(part),
  ]);
  rows.push(['sum of what is measured', formatFigure(sum)]);
  const left = budgetLeft(sum);
  const text = `Sent by each node on an ordinary day, headers included; as much is received.
Counting what is sent, ${formatFigure(left)} of the budget are left for a role and
for heartbeats of connections that calls have left open.`;
  return `## Control bytes\n\n${table(['part', 'sent'], rows)}\n\n${text}`;
}

function budgetLeft(used: Figure): Figure {
  const value = NODE_BUDGET.bytesPerSecond - (used.value ?? 0);
  return {value, unit: 'B/s', from: used.from};
}

function failuresSection(calculator: FigureCalculator): string {
  const rows = failureRows(calculator).map(row => [
    row.failure,
    row.rate,
    row.cost,
    row.verdict,
  ]);
  const header = ['failure', 'how often', 'cost', 'verdict'];
  return `## Failures\n\n${table(header, rows)}`;
}

function limitsSection(calculator: FigureCalculator, slopes: Slopes): string {
  return `## What today's design does not carry\n\n${limitsList(calculator, slopes)}`;
}

function slopesSection(slopes: Slopes): string {
  const rows = Object.entries(slopes).map(([name, {value, command}]) => [
    name,
    String(value),
    `\`${command}\``,
  ]);
  return `## Slopes\n\n${table(['slope', 'value', 'command'], rows)}\n`;
}

function table(header: string[], rows: string[][]): string {
  const lines = [header, header.map(() => '---'), ...rows];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}
