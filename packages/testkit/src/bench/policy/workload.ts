/** What the simulated deployments look like and which faults they have. */

import type {ClassPriority} from '@turmericmill/config';
import type {RandomSource} from '@turmericmill/utils';

/** Calls of one class. */
export interface ClassLoad {
  priority: ClassPriority;
  /** Share of all calls. */
  share: number;
  /** Mean time in ms that a healthy server takes; exponential. */
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

/** The groups of both deployments. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {name: 'homeowner-api', servers: 9, slots: 12, classes: CONTROL},
  {name: 'fieldkit', servers: 3, slots: 12, classes: FILES},
  {name: 'teller-desk', servers: 9, slots: 9, classes: CONTROL},
  {name: 'batch-vault', servers: 3, slots: 9, classes: FILES},
].map(deployment => ({...deployment, connections: 130}));

/**
 * `slow`: one server at a fifth of its speed. `shedding`: one that sheds all
 * beyond a third of its slots. `misreporting`: one whose health endpoint says
 * that all is well while it fails every call at once. `flaky`: the same for
 * every second call. `crashing`: a third of the servers crash every few
 * seconds. `all`: slow, shedding and misreporting on one server each, and one
 * that crashes.
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

/** The fault of one server under the deployment's fault. */
export function faultOf(fault: Fault, server: number, servers: number): Fault {
  if (fault === 'all') {
    const order: Fault[] = ['slow', 'shedding', 'misreporting'];
    const count = Math.min(order.length, servers - 1);
    return (
      (server < count ? order[server] : undefined) ?? lastOf(server, count)
    );
  }
  if (fault === 'crashing') return server < servers / 3 ? fault : 'none';
  return server === 0 ? fault : 'none';
}

function lastOf(server: number, count: number): Fault {
  return server === count ? 'crashing' : 'none';
}

/** Calls for each ms that healthy servers can just serve. */
export function capacityPerMs(deployment: Deployment): number {
  const workMs = deployment.classes.reduce(
    (sum, {share, serviceMs}) => sum + share * serviceMs,
    0,
  );
  return (deployment.servers * deployment.slots) / workMs;
}

/** An exponentially distributed time with the given mean, in ms. */
export function exponentialMs(meanMs: number, random: RandomSource): number {
  return -meanMs * Math.log(1 - random.next());
}

/** The class of a call, drawn by share. */
export function drawClass(
  classes: readonly ClassLoad[],
  random: RandomSource,
): ClassLoad {
  let rest = random.next();
  for (const cls of classes) {
    rest -= cls.share;
    if (rest < 0) return cls;
  }
  return classes[0] as ClassLoad;
}
