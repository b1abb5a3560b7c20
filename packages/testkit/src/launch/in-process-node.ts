/** Runs nodes inside the process of a test. */

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

/** A running node and its ports on loopback. */
export interface InProcessNode {
  node: Node;
  ports: NodePorts;
}

/** What a test says of a node; the rest is filled in. */
export interface InProcessSettings {
  nodeId: string;
  dataCentre: string;
  region: string;
  logUrl: string;
  seeds: string[];
  limits?: Partial<NodeSettings['limits']>;
}

/** Starts a node on free ports of loopback. */
export async function startInProcessNode({
  logUrl,
  limits,
  ...given
}: InProcessSettings): Promise<InProcessNode> {
  const loopback = {address: '127.0.0.1', port: 0};
  const settings = {
    mesh: loopback,
    calls: loopback,
    announce: loopback,
    admin: {...loopback, token: 'in-process-node-token'},
    log: {urls: [logUrl]},
    // Nobody has to learn of a shutdown at the end of a test.
    limits: {drainSpreadMs: 0, ...limits},
    ...given,
  };
  const text = JSON.stringify(settings);
  const node = new Node(parseSettings('node.json', text).unwrap(), SILENT);
  return {node, ports: await node.start()};
}

/** Resolves when every node has published a message for which `holds`. */
export async function whenAll<K extends keyof Topics>(
  nodes: readonly InProcessNode[],
  topic: K,
  holds: (message: Topics[K]) => boolean,
): Promise<void> {
  const waits = nodes.map(
    ({node}) =>
      new Promise<void>(resolve => {
        node.bus.subscribe(topic, message => {
          if (holds(message)) resolve();
        });
      }),
  );
  await Promise.all(waits);
}
