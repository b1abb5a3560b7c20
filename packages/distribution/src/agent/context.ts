/** What the parts of a configuration agent share. */

import type {RandomSource} from '@turmericmill/utils';
import type {ConfigHave, Message} from '@turmericmill/wire';

import type {Topology} from '../relay/topology.js';
import type {ConfigVersion} from '../replica/config-version.js';
import type {ConfigEffect} from './effects.js';
import type {DistributionTiming} from './preference.js';

/** Shared by the parts of one agent. */
export interface AgentContext {
  readonly timing: DistributionTiming;
  readonly random: RandomSource;
  /** Whether the node has others to join, so that it is not alone for long. */
  readonly expectsPeers: boolean;
  /** Follows from the members last heard of. */
  topology: Topology;
  /** Whether the node knows that it may serve. */
  settled: boolean;
  /** Highest version heard of from anyone. */
  knownVersion: number;
  /** Adds an effect to those that are returned to the task. */
  emit(effect: ConfigEffect): void;
}

/** Sends a message to each of `ids`. */
export function sendAll(
  context: AgentContext,
  ids: readonly string[],
  message: Message,
): void {
  for (const to of ids) context.emit({type: 'send', to, message});
}

/** What this node has, as a message. */
export function createHaveMessage(
  context: AgentContext,
  {version, digest}: ConfigVersion,
  ask: boolean,
): Message {
  const {knownVersion: known, settled} = context;
  const body: ConfigHave = {version, digest, known, settled, ask};
  return {type: 'configHave', body};
}

/** Notes that a version exists. */
export function recordKnownVersion(
  context: AgentContext,
  version: number,
): void {
  context.knownVersion = Math.max(context.knownVersion, version);
}
