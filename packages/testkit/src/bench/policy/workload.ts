/** Simulated deployments, their calls and their faults. */

import type {ClassPriority} from '@turmericmill/config';
import type {RandomSource} from '@turmericmill/utils';

/** Calls of one class. */
export interface ClassLoad {
  priority: ClassPriority;
  /** Share of all calls. */
  share: number;
  /** Mean of the exponentially distributed time in ms on a healthy server. */
  serviceMs: number;
  timeoutMs: number;
}

/** A group of backend servers with the calls that it serves. */
export interface Deployment {
  name: string;
  servers: number;
  slots: number;
  connections: number;
  classes: readonly ClassLoad[];
}

const CONTROL: readonly ClassLoad[] = [
  {priority: 'interactive', share: 0.95, serviceMs: 20, timeoutMs: 500},
  {priority: 'bulk', share: 0.05, serviceMs: 100, timeoutMs: 4_000},
];

const FILES: readonly ClassLoad[] = [
  {priority: 'interactive', share: 0.6, serviceMs: 20, timeoutMs: 500},
  {priority: 'bulk', share: 0.4, serviceMs: 200, timeoutMs: 4_000},
];

/** Two deployments with two server groups each, one for each mix of calls. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {name: 'homeowner-api', servers: 9, slots: 12, classes: CONTROL},
  {name: 'fieldkit', servers: 3, slots: 12, classes: FILES},
  {name: 'teller-desk', servers: 9, slots: 9, classes: CONTROL},
  {name: 'batch-vault', servers: 3, slots: 9, classes: FILES},
].map(deployment => ({...deployment, connections: 130}));

/**
 * `slow`: one server runs at a fifth of its speed. `shedding`: one server sheds
 * all calls beyond a third of its slots. `misreporting`: one server immediately
 * fails every call while its health endpoint reports that it is healthy.
 * `flaky`: the same for half of the calls, at random. `crashing`: a third of
 * the servers crash every few seconds. `all`: `slow`, `shedding`,
 * `misreporting` and `crashing` on one server each; with three servers, without
 * `misreporting`.
 */
export type Fault =
  'none' | 'slow' | 'shedding' | 'misreporting' | 'flaky' | 'crashing' | 'all';

export const FAULTS: readonly Fault[] = [
  'none',
  'slow',
  'shedding',
  'misreporting',
  'flaky',
  'crashing',
  'all',
];

/** Returns the fault of one server under the fault of its deployment. */
export function faultOf(fault: Fault, server: number, servers: number): Fault {
  if (fault === 'all') {
    const faults: Fault[] = ['slow', 'shedding', 'misreporting'];
    const count = Math.min(faults.length, servers - 1);
    return (
      (server < count ? faults[server] : undefined) ??
      crashFaultOf(server, count)
    );
  }
  if (fault === 'crashing') return server < servers / 3 ? fault : 'none';
  return server === 0 ? fault : 'none';
}

function crashFaultOf(server: number, count: number): Fault {
  return server === count ? 'crashing' : 'none';
}

/** Returns the capacity of healthy servers, in calls per ms. */
export function capacityPerMs(deployment: Deployment): number {
  const workMs = deployment.classes.reduce(
    (sum, {share, serviceMs}) => sum + share * serviceMs,
    0,
  );
  return (deployment.servers * deployment.slots) / workMs;
}

/** Draws an exponentially distributed time in ms with the given mean. */
export function exponentialMs(meanMs: number, random: RandomSource): number {
  return -meanMs * Math.log(1 - random.next());
}

/** Draws the class of a call according to the shares. */
export function drawClass(
  classes: readonly ClassLoad[],
  random: RandomSource,
): ClassLoad {
  let remainingShare = random.next();
  for (const cls of classes) {
    remainingShare -= cls.share;
    if (remainingShare < 0) return cls;
  }
  return classes[0] as ClassLoad;
}
