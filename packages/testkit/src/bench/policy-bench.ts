/** Balancing policies under faults and load, by the decision code itself. */

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

/** Part by which figures that count as equal may differ. */
const TIE = 0.01;

type PolicyName = 'chosen' | 'roundRobin' | 'leastInFlight';

const POLICIES: Record<PolicyName, (dataCentre: string) => Balancer> = {
  chosen: dataCentre => new LeastExpectedCostBalancer(dataCentre),
  roundRobin: () => new RoundRobinBalancer(),
  leastInFlight: () => new LeastInFlightBalancer(),
};

/** Interactive calls under the chosen policy against another one. */
interface Comparison {
  goodputRatio: number;
  p99Ratio: number;
  /** More goodput, or as much of it with no higher p99. */
  isAhead: boolean;
}

interface Row {
  deployment: string;
  fault: Fault;
  loadPercent: number;
  /** Ahead of both other policies. */
  ahead: boolean;
  /** Against round robin, then against least in flight. */
  against: Comparison[];
  figures: Record<PolicyName, PolicyFigures>;
}

/** Goodput at the highest load against that at capacity. */
interface OverloadRow {
  deployment: string;
  fault: Fault;
  /** Calls of both classes. */
  ratio: number;
  interactiveRatio: number;
}

interface Plan {
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
  const rivals = [figures.roundRobin, figures.leastInFlight];
  const against = rivals.map(rival => compare(figures.chosen, rival));
  const place = {deployment: deployment.name, fault, loadPercent};
  const ahead = against.every(({isAhead}) => isAhead);
  return {...place, ahead, against, figures};
}

/** Goodput decides; where it is equal, p99 does. */
function compare(chosen: PolicyFigures, rival: PolicyFigures): Comparison {
  const own = chosen.interactive;
  const other = rival.interactive;
  const goodputRatio = ratio(own.goodput, other.goodput);
  const p99Ratio = ratio(own.p99Ms, other.p99Ms);
  const tied = Math.abs(goodputRatio - 1) <= TIE;
  const isAhead = tied ? p99Ratio <= 1 + TIE : goodputRatio > 1;
  return {goodputRatio, p99Ratio, isAhead};
}

function ratio(a: number, b: number): number {
  return Number((a / Math.max(b, 1e-9)).toFixed(3));
}

function overload(rows: readonly Row[]): OverloadRow[] {
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

/** Each deployment, fault and load under each policy. */
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
    const wanted = (option: string, name: string) =>
      options[option]?.split(',').includes(name) ?? true;
    for (const deployment of DEPLOYMENTS) {
      if (!wanted('deployments', deployment.name)) continue;
      for (const fault of FAULTS) {
        if (!wanted('faults', fault)) continue;
        for (const load of plan.loads) {
          rows.push(simulate(plan, deployment, fault, load));
        }
      }
    }
    const behind = rows.filter(({ahead}) => !ahead).length;
    const overloaded = overload(rows);
    return Promise.resolve({plan, rows, behind, overload: overloaded});
  }
}

export const bench: Bench = new PolicyBench();
