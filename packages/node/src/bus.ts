/** Typed messages between the tasks of one node. */

import type {MeshConfig} from '@turmericmill/config';
import type {ConfigVersion} from '@turmericmill/distribution';
import type {RoutingTable} from '@turmericmill/routing';
import type {
  MemberRecord,
  Message,
  MessageName,
  MessageOf,
  ServerRecord,
} from '@turmericmill/wire';

/** A backend server beside this node. */
export interface LocalServer extends ServerRecord {
  /** IP number and port at which the server takes HTTP calls. */
  address: string;
  port: number;
}

/** The other end of a connection. */
export interface Peer {
  nodeId: string;
  incarnation: number;
  dataCentre: string;
  region: string;
}

/** Ids of the calls that ended with a connection. */
export interface LostCalls {
  /** Calls of this node. */
  own: ReadonlySet<number>;
  /** Calls of the peer's incarnation, if it was known. */
  theirs: ReadonlySet<number>;
  incarnation?: number;
}

/** A message that another node sent over TCP. */
export type PeerMessage<K extends MessageName> = MessageOf<K> & {peer: Peer};

/** The topics of the bus and what is published on each. */
export interface Topics {
  /**
   * From transport: a connection with a node was lost. `opened` is false when
   * nothing had been sent over it. `calls` went over it, while others go on
   * over another connection; without it, all calls with the node are lost.
   */
  'peer-lost': {nodeId: string; opened: boolean; calls?: LostCalls};
  /** From transport: a datagram arrived. */
  datagram: {address: string; port: number; message: Message};
  /** To transport. */
  'send-datagram': {address: string; port: number; message: Message};
  /**
   * To transport: sent over TCP, connecting if needed. With `incarnation`, it
   * is dropped when the node's connection is of another one.
   */
  'send-peer': {nodeId: string; incarnation?: number; message: Message};
  /** To transport: sent over TCP to a node known by its address alone. */
  'send-address': {address: string; port: number; message: Message};
  /** From membership: the members of this node's scope, with itself. */
  'view-changed': {members: readonly MemberRecord[]};
  /** From configuration: a version was swapped in. */
  'config-in-force': {state: ConfigVersion; table: RoutingTable};
  /** From configuration: the platform's operators' version was swapped in. */
  'mesh-config': {config: MeshConfig};
  /** From configuration: the node knows that it may serve. */
  'config-settled': {version: number};
  /** From announce: the backend servers beside this node. */
  'local-servers': {servers: readonly LocalServer[]};
  /** From administration: start or end the drain of a local server. */
  drain: {serverId: string; draining: boolean};
}

export type TopicName = keyof Topics;

type Handler<T> = (message: T) => void;

/** Delivers each message at once to every subscriber, in order. */
export class Bus {
  private readonly handlers = new Map<string, Handler<never>[]>();

  subscribe<K extends TopicName>(topic: K, handler: Handler<Topics[K]>): void {
    this.add(topic, handler);
  }

  publish<K extends TopicName>(topic: K, message: Topics[K]): void {
    for (const handler of this.handlers.get(topic) ?? []) {
      (handler as Handler<Topics[K]>)(message);
    }
  }

  /** Subscribes to one type of message from other nodes. */
  onPeerMessage<K extends MessageName>(
    type: K,
    handler: Handler<PeerMessage<K>>,
  ): void {
    this.add(`peer:${type}`, handler);
  }

  /** Publishes a message from another node. */
  publishPeerMessage(peer: Peer, message: Message): void {
    const handlers = this.handlers.get(`peer:${message.type}`) ?? [];
    for (const handler of handlers) {
      (handler as Handler<unknown>)({...message, peer});
    }
  }

  private add(topic: string, handler: Handler<never>): void {
    const handlers = this.handlers.get(topic) ?? [];
    handlers.push(handler);
    this.handlers.set(topic, handlers);
  }
}
