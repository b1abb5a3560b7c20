/**
 * Simulates a network of up to a few hundred `Membership` instances in one
 * process, with a manual clock and seeded faults. It models neither sockets nor
 * hosts.
 */

import {ManualClock, SeededRandom} from '@turmericmill/utils';
import {encodeMessage} from '@turmericmill/wire';

import {
  Membership,
  TICK_INTERVAL_MS,
  type Endpoint,
  type MembershipEffect,
  type MembershipInput,
  type MembershipMessage,
  type NodeIdentity,
} from '../src/index.js';

const START_MS = 1_700_000_000_000;
const MIN_DELAY_MS = 1;
const DELAY_SPREAD_MS = 4;

/** One simulated node, with its state and faults in the simulation. */
export interface SimulatedNode {
  identity: NodeIdentity;
  membership: Membership;
  pausedUntilMs: number;
  stopped: boolean;
  inbox: MembershipInput[];
  effects: MembershipEffect[];
  /** Time in ms that sent messages wait in the queue of the node's uplink. */
  uplinkQueueMs: number;
}

/** True when a message from `from` to `to` is lost. */
export type LossRule = (from: NodeIdentity, to: NodeIdentity) => boolean;

/** Bytes sent since the last reset, headers of IP and UDP included. */
export interface SentBytes {
  /** To nodes of the sender's data centre. */
  local: number;
  /** To nodes of other data centres. */
  remote: number;
}

/** Size in bytes of the headers of IP and UDP. */
const HEADER_BYTES = 28;

interface Delivery {
  to: SimulatedNode;
  input: MembershipInput;
}

export class SimulatedNetwork {
  readonly clock = new ManualClock(START_MS);
  readonly random: SeededRandom;
  readonly nodes: SimulatedNode[] = [];
  sent: SentBytes = {local: 0, remote: 0};
  private readonly byEndpoint = new Map<string, SimulatedNode>();
  private readonly deliveriesByTime = new Map<number, Delivery[]>();
  /** Loss rules in force; a message is lost if any of them applies. */
  readonly losses = new Set<LossRule>();

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  /** Starts a node; a later one at the same endpoint gets its messages. */
  start(id: string, options: Partial<NodeIdentity> = {}): SimulatedNode {
    const number = this.nodes.length;
    const identity: NodeIdentity = {
      id,
      incarnation: this.clock.now(),
      address: `10.0.${number >> 8}.${number & 255}`,
      port: 7000,
      dataCentre: `dc-${number % 3}`,
      region: 'region-1',
      ...options,
    };
    const node: SimulatedNode = {
      identity,
      membership: new Membership(identity, this.clock.now(), this.random),
      pausedUntilMs: 0,
      stopped: false,
      inbox: [],
      effects: [],
      uplinkQueueMs: 0,
    };
    this.nodes.push(node);
    this.byEndpoint.set(keyOf(identity), node);
    return node;
  }

  /** Starts `count` nodes, with the first three as seeds, and runs them. */
  startAll(count: number, settleMs = 8_000): SimulatedNode[] {
    const nodes = Array.from({length: count}, (unused, index) =>
      this.start(`node-${index}`),
    );
    const endpoints = nodes.slice(0, 3).map(node => node.identity);
    for (const node of nodes) this.input(node, {type: 'seeds', endpoints});
    this.run(settleMs);
    return nodes;
  }

  /** Stops a node and starts it again with its id and address. */
  restart(node: SimulatedNode, seeds: Endpoint[]): SimulatedNode {
    const {id, address, port, dataCentre} = node.identity;
    node.stopped = true;
    const next = this.start(id, {address, port, dataCentre});
    this.input(next, {type: 'seeds', endpoints: seeds});
    return next;
  }

  input(node: SimulatedNode, input: MembershipInput): void {
    const effects = node.membership.handle(
      input,
      this.clock.now(),
      this.random,
    );
    for (const effect of effects) this.applyEffect(node, effect);
  }

  /** Advances the clock; calls `eachStep` after every millisecond. */
  run(durationMs: number, eachStep?: () => void): void {
    const endMs = this.clock.now() + durationMs;
    while (this.clock.now() < endMs) {
      const nowMs = this.clock.advance(1);
      const deliveries = this.deliveriesByTime.get(nowMs) ?? [];
      this.deliveriesByTime.delete(nowMs);
      for (const {to, input} of deliveries) this.deliver(to, input);
      this.tickNodes(nowMs);
      eachStep?.();
    }
  }

  /** Runs until `done` or the limit; returns the elapsed time in ms. */
  runUntil(done: () => boolean, limitMs: number): number {
    const startMs = this.clock.now();
    while (!done() && this.clock.now() - startMs < limitMs) this.run(10);
    return this.clock.now() - startMs;
  }

  /** Ticks the nodes whose phase it is; phases depend on their indexes. */
  private tickNodes(nowMs: number): void {
    const phase = nowMs % TICK_INTERVAL_MS;
    for (let i = phase; i < this.nodes.length; i += TICK_INTERVAL_MS) {
      const node = this.nodes[i] as SimulatedNode;
      if (node.stopped || nowMs < node.pausedUntilMs) continue;
      const inbox = node.inbox.splice(0);
      for (const input of inbox) this.input(node, input);
      this.input(node, {type: 'tick'});
    }
  }

  private deliver(to: SimulatedNode, input: MembershipInput): void {
    if (to.stopped) return;
    if (this.clock.now() < to.pausedUntilMs) to.inbox.push(input);
    else this.input(to, input);
  }

  private applyEffect(from: SimulatedNode, effect: MembershipEffect): void {
    switch (effect.type) {
      case 'send-datagram':
      case 'send-sync':
        this.send(from, effect.to, effect.message);
        break;
      default:
        from.effects.push(effect);
    }
  }

  private send(
    from: SimulatedNode,
    endpoint: Endpoint,
    message: MembershipMessage,
  ): void {
    const to = this.byEndpoint.get(keyOf(endpoint));
    if (!to) return;
    const isLocal = to.identity.dataCentre === from.identity.dataCentre;
    const bytes = encodeMessage(message).length + HEADER_BYTES;
    this.sent[isLocal ? 'local' : 'remote'] += bytes;
    for (const isLost of this.losses) {
      if (isLost(from.identity, to.identity)) return;
    }
    const delayMs = MIN_DELAY_MS + this.random.nextInt(DELAY_SPREAD_MS);
    const atMs = this.clock.now() + from.uplinkQueueMs + delayMs;
    const {address, port} = from.identity;
    const input: MembershipInput = {
      type: 'message',
      from: {address, port},
      message,
    };
    const queue = this.deliveriesByTime.get(atMs) ?? [];
    queue.push({to, input});
    this.deliveriesByTime.set(atMs, queue);
  }
}

function keyOf({address, port}: Endpoint): string {
  return `${address}:${port}`;
}
