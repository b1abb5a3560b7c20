/** Runs nodes in the process of a test. */

import {
  Node,
  parseSettings,
  type NodePorts,
  type NodeSettings,
  type Topics,
} from '@turmericmill/node';
import bunyan from 'bunyan';

const SILENT = bunyan.createLogger({
  name: 'in-process-node',
  level: bunyan.FATAL + 1,
});

/** A running node with its ports on loopback. */
export interface InProcessNode {
  node: Node;
  ports: NodePorts;
}

/** Settings of a node that a test chooses; all others have default values. */
export interface InProcessSettings {
  nodeId: string;
  dataCentre: string;
  region: string;
  logUrl: string;
  seeds: string[];
  limits?: Partial<NodeSettings['limits']>;
}

/** Starts a node on free loopback ports. */
export async function startInProcessNode({
  logUrl,
  limits,
  ...otherSettings
}: InProcessSettings): Promise<InProcessNode> {
  const loopback = {address: '127.0.0.1', port: 0};
  const settings = {
    mesh: loopback,
    calls: loopback,
    announce: loopback,
    admin: {...loopback, token: 'in-process-node-token'},
    log: {urls: [logUrl]},
    // No other node needs to be notified when a test shuts its nodes down.
    limits: {drainSpreadMs: 0, ...limits},
    ...otherSettings,
  };
  const text = JSON.stringify(settings);
  const node = new Node(parseSettings('node.json', text).unwrap(), SILENT);
  return {node, ports: await node.start()};
}

/** Resolves when each node has published a matching message. */
export async function whenAll<K extends keyof Topics>(
  nodes: readonly InProcessNode[],
  topic: K,
  isMatching: (message: Topics[K]) => boolean,
): Promise<void> {
  const waits = nodes.map(
    ({node}) =>
      new Promise<void>(resolve => {
        node.bus.subscribe(topic, message => {
          if (isMatching(message)) resolve();
        });
      }),
  );
  await Promise.all(waits);
}
