/** Renders the capacity page. */

import {DERIVED, DESIGN_SIZE, NODE_BUDGET} from './design-size.js';
import {failureRows} from './failures.js';
import {FigureBook, formatNumber, show, type Figure} from './figures.js';
import {
  controlBytes,
  heartbeatBytes,
  roleRows,
  seedAppends,
  viewMemory,
} from './roles.js';
import type {Slopes} from './slopes.js';

/** Time in ms after which a dead server may get no new work. */
const DEAD_TARGET_MS = 3_000;

/** The page as Markdown. */
export function renderPage(slopes: Slopes): string {
  const book = new FigureBook(slopes);
  return [
    '# Capacity',
    `Written by \`npm run capacity\` from
[measurements/slopes.json](measurements/slopes.json); do not edit. A figure is
worked out from slopes that benchmarks have measured on one machine, or counted
by encoding messages; what no benchmark has measured yet says so. Sizes beyond
the fleets measured are extrapolated along a straight line.`,
    sizeSection(),
    rolesSection(book),
    bytesSection(book),
    failuresSection(book),
    limitsSection(book, slopes),
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

function rolesSection(book: FigureBook): string {
  const head = [
    'role',
    'nodes',
    'state',
    'messages',
    'processor',
    'memory',
    'mechanism',
  ];
  const rows = roleRows(book).map(row => [
    row.role,
    row.nodes,
    row.state,
    row.messages,
    row.cpu,
    row.memory,
    row.mechanism,
  ]);
  return `## Roles\n\n${table(head, rows)}`;
}

function bytesSection(book: FigureBook): string {
  const parts = controlBytes(book);
  const known = Object.values(parts).filter(part => part.value !== undefined);
  const sum = book.sum(known);
  const rows = Object.entries(parts).map(([name, part]) => [name, show(part)]);
  rows.push(['sum of what is measured', show(sum)]);
  const left = configurationBudget(sum);
  const text = `Sent by each node on an ordinary day, headers included; as much is received.
Counting what is sent, ${show(left)} of the budget are left, which is
${show(perChange(left))} for each change of configuration at
${DERIVED.changesPerSecond.toFixed(2)} changes a second.`;
  return `## Control bytes\n\n${table(['part', 'sent'], rows)}\n\n${text}`;
}

function configurationBudget(used: Figure): Figure {
  const value = NODE_BUDGET.bytesPerSecond - (used.value ?? 0);
  return {value, unit: 'B/s', from: used.from};
}

function perChange(left: Figure): Figure {
  const value = (left.value ?? 0) / DERIVED.changesPerSecond;
  return {value, unit: 'B', from: left.from};
}

function failuresSection(book: FigureBook): string {
  const rows = failureRows(book).map(row => [
    row.failure,
    row.rate,
    row.cost,
    row.verdict,
  ]);
  const head = ['failure', 'how often', 'cost', 'verdict'];
  return `## Failures\n\n${table(head, rows)}`;
}

function limitsSection(book: FigureBook, slopes: Slopes): string {
  const heartbeat = heartbeatBytes(book);
  const connections = Math.floor(
    NODE_BUDGET.bytesPerSecond / (heartbeat.value ?? 1),
  );
  return `## What today's design does not carry

${herdLimit(slopes)}- **Heartbeats of idle connections.** Each open connection between two nodes
  costs each end ${show(heartbeat)}, so that ${connections} of them use up the whole budget for control. More than
  half of the quiet messages of membership are such heartbeats, on connections that
  an exchange of views has left open. A node that calls ten services of 22 servers each may hold
  220. What would carry it: heartbeats only while a call waits and nothing
  arrives, and closing connections that were idle for some seconds.
- **Slots of other regions.** Summaries with the slots of ${DESIGN_SIZE.services} groups
  stay at the gateways; ordinary members get slots for up to 64 groups. What
  would carry it: a question to a gateway for the groups that a node calls, its
  answer kept until a deadline.
- **A cold start of the whole fleet without seeds in the settings.** Each node
  that knows nobody may append its address to the log within its first 20 s.
  Seeds in the settings, or an earlier stream, avoid it; ordinary appends are
  ${show(seedAppends(book))}.
- **The view of a region** is held whole by each node (${show(viewMemory(book))}). It
  would have to be split by group beyond some ten thousand members of a region.
- **Everything marked "not measured"** above is a design, not a claim.`;
}

/** Says so when a herd's death took longer to notice than it may. */
function herdLimit(slopes: Slopes): string {
  const worstMs = slopes['membership.worstHerdMs']?.value;
  if (worstMs === undefined || worstMs <= DEAD_TARGET_MS) return '';
  return `- **The death of a herd.** A third of a fleet that died at once was out of all
  views after ${worstMs} ms at worst, the target being ${DEAD_TARGET_MS} ms.
`;
}

function slopesSection(slopes: Slopes): string {
  const rows = Object.entries(slopes).map(([name, {value, command}]) => [
    name,
    String(value),
    `\`${command}\``,
  ]);
  return `## Slopes\n\n${table(['slope', 'value', 'command'], rows)}\n`;
}

function table(head: string[], rows: string[][]): string {
  const lines = [head, head.map(() => '---'), ...rows];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}
