/** Publish-subscribe bus with typed topics between the tasks of one node. */

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

/** A backend server on the host of this node. */
export interface LocalServer extends ServerRecord {
  /** IP address and port at which the server accepts HTTP calls. */
  address: string;
  port: number;
}

/** The node at the other end of a connection. */
export interface Peer {
  nodeId: string;
  incarnation: number;
  dataCentre: string;
  region: string;
}

/** Ids of the calls that were lost with a connection. */
export interface LostCalls {
  /** Calls that this node started. */
  own: ReadonlySet<number>;
  /** Calls that the peer started. */
  theirs: ReadonlySet<number>;
  /** The peer's incarnation, if it was known. */
  incarnation?: number;
}

/** A message that another node sent over TCP. */
export type PeerMessage<K extends MessageName> = MessageOf<K> & {peer: Peer};

/** The topics of the bus and what is published on each. */
export interface Topics {
  /**
   * From transport: a connection with a node was lost. `opened` is false if
   * nothing had been sent over it. Only `calls` are lost, because other calls
   * continue over another connection. Without `calls`, all calls with the node
   * are lost.
   */
  'peer-lost': {nodeId: string; opened: boolean; calls?: LostCalls};
  /** From transport: a connection to a node has sent all that it buffered. */
  'peer-drained': {nodeId: string};
  /** From transport: a datagram arrived. */
  datagram: {address: string; port: number; message: Message};
  /** To transport: send a datagram. */
  'send-datagram': {address: string; port: number; message: Message};
  /**
   * To transport: send over TCP; opens a connection if there is none. With
   * `incarnation`, the message is dropped if the node's connection belongs to
   * another incarnation.
   */
  'send-peer': {nodeId: string; incarnation?: number; message: Message};
  /** To transport: send over TCP to a node with a known address but no id. */
  'send-address': {address: string; port: number; message: Message};
  /**
   * From membership: the members in this node's scope, including itself, and
   * the ids of those that have left in a planned way.
   */
  'view-changed': {
    members: readonly MemberRecord[];
    departed?: readonly string[];
  };
  /** From the store: the nodes that have an entry there. */
  'stored-nodes': {nodeIds: readonly string[]};
  /** From configuration: a version was put in force. */
  'config-in-force': {state: ConfigVersion; table: RoutingTable};
  /** From configuration: the operators' mesh configuration was put in force. */
  'mesh-config': {config: MeshConfig};
  /** From configuration: the node may serve from now on. */
  'config-settled': {version: number};
  /** From announce: the backend servers on the host of this node. */
  'local-servers': {servers: readonly LocalServer[]};
  /** From administration: start or end the drain of a local server. */
  drain: {serverId: string; draining: boolean};
}

export type TopicName = keyof Topics;

type Handler<T> = (message: T) => void;

/** Delivers each message synchronously to all subscribers, in their order. */
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

  /** Publishes a message that another node has sent. */
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
