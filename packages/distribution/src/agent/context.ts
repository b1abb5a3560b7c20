/** State that the parts of a configuration agent share. */

import type {RandomSource} from '@turmericmill/utils';
import type {ConfigHave, Message} from '@turmericmill/wire';

import type {Topology} from '../relay/topology.js';
import type {ConfigVersion} from '../replica/config-version.js';
import type {ConfigEffect} from './effects.js';
import type {DistributionTiming} from './preference.js';

/** Shared state of the parts of one agent. */
export interface AgentContext {
  readonly timing: DistributionTiming;
  readonly random: RandomSource;
  /** Whether the node has other nodes to join, so that it soon has peers. */
  readonly expectsPeers: boolean;
  /** Built from the latest list of members. */
  topology: Topology;
  /** Whether the node has established that it may serve. */
  settled: boolean;
  /** The highest version that any node is known to have. */
  knownVersion: number;
  /** Adds an effect to those that the agent returns to the calling task. */
  emit(effect: ConfigEffect): void;
}

/** Sends a message to each of the nodes `ids`. */
export function sendAll(
  context: AgentContext,
  ids: readonly string[],
  message: Message,
): void {
  for (const to of ids) context.emit({type: 'send', to, message});
}

/** Creates a message with the version of this node; `ask` requests a reply. */
export function createHaveMessage(
  context: AgentContext,
  {version, digest}: ConfigVersion,
  ask: boolean,
): Message {
  const {knownVersion: known, settled} = context;
  const body: ConfigHave = {version, digest, known, settled, ask};
  return {type: 'configHave', body};
}

/** Records that a version exists. */
export function recordKnownVersion(
  context: AgentContext,
  version: number,
): void {
  context.knownVersion = Math.max(context.knownVersion, version);
}
