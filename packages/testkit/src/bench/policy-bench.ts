/** Simulates balancing policies under faults and load with the routing code. */

import {
  LeastExpectedCostBalancer,
  LeastInFlightBalancer,
  RoundRobinBalancer,
  type Balancer,
} from '@turmericmill/routing';

import {
  Bench,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';
import {PolicySim, type PolicyFigures} from './policy/policy-sim.js';
import {
  DEPLOYMENTS,
  FAULTS,
  type Deployment,
  type Fault,
} from './policy/workload.js';

/** Relative difference up to which two figures count as equal. */
const TIE_TOLERANCE = 0.01;

/** `chosen` is the policy of the nodes; the others are alternatives to it. */
type PolicyName = 'chosen' | 'roundRobin' | 'leastInFlight';

const POLICIES: Record<PolicyName, (dataCentre: string) => Balancer> = {
  chosen: dataCentre => new LeastExpectedCostBalancer(dataCentre),
  roundRobin: () => new RoundRobinBalancer(),
  leastInFlight: () => new LeastInFlightBalancer(),
};

/** Interactive calls under the chosen policy, compared with another policy. */
interface Comparison {
  goodputRatio: number;
  p99Ratio: number;
  /** True if goodput is higher, or if it is equal and p99 is not higher. */
  isAhead: boolean;
}

interface Row {
  deployment: string;
  fault: Fault;
  loadPercent: number;
  /** True if the chosen policy is ahead of both other policies. */
  ahead: boolean;
  /** Comparisons with round robin and with least in flight, in this order. */
  against: Comparison[];
  figures: Record<PolicyName, PolicyFigures>;
}

/** Goodput of the chosen policy at 150 % load, relative to that at 100 %. */
interface OverloadRow {
  deployment: string;
  fault: Fault;
  /** Ratio for the calls of both classes together. */
  ratio: number;
  interactiveRatio: number;
}

interface Plan {
  /** Offered loads in percent of the capacity of healthy servers. */
  loads: number[];
  seed: number;
  warmUpMs: number;
  measuredMs: number;
}

function simulate(
  plan: Plan,
  deployment: Deployment,
  fault: Fault,
  loadPercent: number,
): Row {
  const figuresOf = (name: PolicyName) =>
    new PolicySim({
      ...plan,
      deployment,
      fault,
      load: loadPercent / 100,
      makeBalancer: POLICIES[name],
    }).run();
  const figures = {
    chosen: figuresOf('chosen'),
    roundRobin: figuresOf('roundRobin'),
    leastInFlight: figuresOf('leastInFlight'),
  };
  const alternatives = [figures.roundRobin, figures.leastInFlight];
  const against = alternatives.map(alternative =>
    compare(figures.chosen, alternative),
  );
  const conditions = {deployment: deployment.name, fault, loadPercent};
  const ahead = against.every(({isAhead}) => isAhead);
  return {...conditions, ahead, against, figures};
}

/** Compares goodput, and p99 if goodput is equal. */
function compare(
  chosen: PolicyFigures,
  alternative: PolicyFigures,
): Comparison {
  const chosenSummary = chosen.interactive;
  const alternativeSummary = alternative.interactive;
  const goodputRatio = ratio(chosenSummary.goodput, alternativeSummary.goodput);
  const p99Ratio = ratio(chosenSummary.p99Ms, alternativeSummary.p99Ms);
  const isTie = Math.abs(goodputRatio - 1) <= TIE_TOLERANCE;
  const isAhead = isTie ? p99Ratio <= 1 + TIE_TOLERANCE : goodputRatio > 1;
  return {goodputRatio, p99Ratio, isAhead};
}

function ratio(a: number, b: number): number {
  return Number((a / Math.max(b, 1e-9)).toFixed(3));
}

function overloadRows(rows: readonly Row[]): OverloadRow[] {
  const totalOf = ({figures}: Row) =>
    figures.chosen.interactive.goodput + figures.chosen.bulk.goodput;
  const interactiveOf = ({figures}: Row) => figures.chosen.interactive.goodput;
  return rows
    .filter(row => row.loadPercent === 150)
    .flatMap(high => {
      const base = rows.find(
        row =>
          row.deployment === high.deployment &&
          row.fault === high.fault &&
          row.loadPercent === 100,
      );
      if (!base) return [];
      const {deployment, fault} = high;
      return {
        deployment,
        fault,
        ratio: ratio(totalOf(high), totalOf(base)),
        interactiveRatio: ratio(interactiveOf(high), interactiveOf(base)),
      };
    });
}

/** Simulates each deployment, fault and load under each policy. */
class PolicyBench extends Bench {
  override readonly summary = 'Goodput and p99 of balancing under faults';

  override run(options: BenchOptions): Promise<object> {
    const plan: Plan = {
      loads: numbersOption(options, 'loads', [70, 100, 150]),
      seed: numberOption(options, 'seed', 1),
      warmUpMs: numberOption(options, 'warm-up-ms', 2_000),
      measuredMs: numberOption(options, 'measured-ms', 8_000),
    };
    const rows: Row[] = [];
    const isSelected = (option: string, name: string) =>
      options[option]?.split(',').includes(name) ?? true;
    for (const deployment of DEPLOYMENTS) {
      if (!isSelected('deployments', deployment.name)) continue;
      for (const fault of FAULTS) {
        if (!isSelected('faults', fault)) continue;
        for (const load of plan.loads) {
          rows.push(simulate(plan, deployment, fault, load));
        }
      }
    }
    const behind = rows.filter(({ahead}) => !ahead).length;
    const overloaded = overloadRows(rows);
    return Promise.resolve({plan, rows, behind, overload: overloaded});
  }
}

export const bench: Bench = new PolicyBench();
