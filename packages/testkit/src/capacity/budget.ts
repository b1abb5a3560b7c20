/** Compares the control cost of each role with the budget of a node. */

import {NODE_BUDGET} from './design-size.js';
import {
  formatFigure,
  formatNumber,
  type Figure,
  type FigureCalculator,
} from './figures.js';
import {controlBytes, controlCpu, nodeMemory} from './node-cost.js';
import {
  claimBytes,
  claimCpu,
  claimMemory,
  gatewayBytes,
  gatewayState,
  innerNodeBytes,
  relayBytes,
  snapshotBytes,
  usageCpu,
  usageHeartbeats,
  usageMemory,
  usageSent,
} from './role-figures.js';

/** Total control cost of a node with a given role. */
export interface BudgetRow {
  role: string;
  cpu: Figure;
  memory: Figure;
  bytes: Figure;
}

/** Rows of all roles; each includes the cost that every node has. */
export function budgetRows(calculator: FigureCalculator): BudgetRow[] {
  const cpu = controlCpu(calculator);
  const busyCpu = controlCpu(calculator, 'convergence.maxCpuMsPerSecond');
  const memory = nodeMemory(calculator);
  const bytes = calculator.sum(Object.values(controlBytes(calculator)));
  const notMeasured = {value: undefined, unit: '', from: []};
  const add = (base: Figure, extra: Figure) => calculator.sum([base, extra]);
  return [
    {role: 'every node, leaf of the push tree', cpu, memory, bytes},
    {
      role: 'inner node of both push trees',
      cpu: busyCpu,
      memory,
      bytes: add(bytes, innerNodeBytes(calculator)),
    },
    {
      role: 'relay',
      cpu: busyCpu,
      memory,
      bytes: add(bytes, relayBytes(calculator)),
    },
    {
      role: 'snapshot writer (a relay)',
      cpu: notMeasured,
      memory,
      bytes: calculator.sum([
        bytes,
        relayBytes(calculator),
        snapshotBytes(calculator),
      ]),
    },
    {
      role: 'usage collector',
      cpu: add(cpu, usageCpu(calculator)),
      memory: add(memory, usageMemory(calculator)),
      bytes: calculator.sum([
        bytes,
        usageSent(calculator),
        usageHeartbeats(calculator),
      ]),
    },
    {
      role: 'gateway, the first of its region',
      cpu: notMeasured,
      memory: add(memory, gatewayState(calculator)),
      bytes: add(bytes, gatewayBytes(calculator)),
    },
    {
      role: 'claim writer of one partition',
      cpu: add(cpu, claimCpu(calculator)),
      memory: add(memory, claimMemory(calculator)),
      bytes: add(bytes, claimBytes(calculator)),
    },
  ];
}

/** Share of a limit above which a figure counts as near the limit. */
const NEAR_LIMIT_RATIO = 0.95;

/** `yes`, or a list of what is over or near its limit or not measured. */
export function verdict({cpu, memory, bytes}: BudgetRow): string {
  const checks: [string, Figure, number][] = [
    ['processor', cpu, NODE_BUDGET.cpuPercent],
    ['memory', memory, NODE_BUDGET.memoryMiB],
    ['bytes', bytes, NODE_BUDGET.bytesPerSecond],
  ];
  const problems = checks.flatMap(([name, figure, limit]) => {
    if (figure.value === undefined) return [`${name} not measured`];
    if (figure.value <= limit * NEAR_LIMIT_RATIO) return [];
    if (figure.value <= limit) return [`${name} near the limit`];
    const ratio = formatNumber(figure.value / limit);
    return [`**${name} ${ratio} times the budget**`];
  });
  return problems.length === 0 ? 'yes' : problems.join(', ');
}

/** Table cells of one row. */
export function budgetCells(row: BudgetRow): string[] {
  const {role, cpu, memory, bytes} = row;
  return [
    role,
    formatFigure(cpu),
    formatFigure(memory),
    formatFigure(bytes),
    verdict(row),
  ];
}
