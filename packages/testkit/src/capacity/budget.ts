/** Whether each role stays within what a node may spend on control. */

import {NODE_BUDGET} from './design-size.js';
import {formatNumber, show, type Figure, type FigureBook} from './figures.js';
import {controlBytes, controlCpu, nodeMemory} from './node-cost.js';
import {
  claimBytes,
  claimCpu,
  claimMemory,
  gatewayBytes,
  gatewayState,
  innerBytes,
  relayBytes,
  snapshotBytes,
  usageCpu,
  usageHeartbeats,
  usageMemory,
  usageSent,
} from './role-figures.js';

/** What a node with a role spends in all. */
export interface BudgetRow {
  role: string;
  cpu: Figure;
  memory: Figure;
  bytes: Figure;
}

/** Every role, with what it does as a node included. */
export function budgetRows(book: FigureBook): BudgetRow[] {
  const cpu = controlCpu(book);
  const busyCpu = controlCpu(book, 'convergence.maxCpuMsPerSecond');
  const memory = nodeMemory(book);
  const bytes = book.sum(Object.values(controlBytes(book)));
  const notMeasured = {value: undefined, unit: '', from: []};
  const plus = (base: Figure, more: Figure) => book.sum([base, more]);
  return [
    {role: 'every node, leaf of the push tree', cpu, memory, bytes},
    {
      role: 'inner node of both push trees',
      cpu: busyCpu,
      memory,
      bytes: plus(bytes, innerBytes(book)),
    },
    {
      role: 'relay',
      cpu: busyCpu,
      memory,
      bytes: plus(bytes, relayBytes(book)),
    },
    {
      role: 'snapshot writer (a relay)',
      cpu: notMeasured,
      memory,
      bytes: book.sum([bytes, relayBytes(book), snapshotBytes(book)]),
    },
    {
      role: 'usage collector',
      cpu: plus(cpu, usageCpu(book)),
      memory: plus(memory, usageMemory(book)),
      bytes: book.sum([bytes, usageSent(book), usageHeartbeats(book)]),
    },
    {
      role: 'gateway, the first of its region',
      cpu: notMeasured,
      memory: plus(memory, gatewayState(book)),
      bytes: plus(bytes, gatewayBytes(book)),
    },
    {
      role: 'claim writer of one partition',
      cpu: plus(cpu, claimCpu(book)),
      memory: plus(memory, claimMemory(book)),
      bytes: plus(bytes, claimBytes(book)),
    },
  ];
}

/** Part of a limit from which on a figure is near it. */
const NEAR = 0.95;

/** `yes`, or what is over, near its limit or not known. */
export function verdict({cpu, memory, bytes}: BudgetRow): string {
  const checks: [string, Figure, number][] = [
    ['processor', cpu, NODE_BUDGET.cpuPercent],
    ['memory', memory, NODE_BUDGET.memoryMiB],
    ['bytes', bytes, NODE_BUDGET.bytesPerSecond],
  ];
  const faults = checks.flatMap(([name, figure, limit]) => {
    if (figure.value === undefined) return [`${name} not measured`];
    if (figure.value <= limit * NEAR) return [];
    if (figure.value <= limit) return [`${name} near the limit`];
    const times = formatNumber(figure.value / limit);
    return [`**${name} ${times} times the budget**`];
  });
  return faults.length === 0 ? 'yes' : faults.join(', ');
}

/** Cells of a row of the page. */
export function budgetCells(row: BudgetRow): string[] {
  const {role, cpu, memory, bytes} = row;
  return [role, show(cpu), show(memory), show(bytes), verdict(row)];
}
