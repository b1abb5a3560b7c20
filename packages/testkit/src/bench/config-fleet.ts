/** Runs a log and a fleet of configuration nodes for benchmarks. */

import {makeResource} from '@turmericmill/config';
import type {Resource, ResourceWrite} from '@turmericmill/config';
import {buildPublication} from '@turmericmill/distribution';

import type {ConfigNodeMode} from '../config-node/messages.js';
import {ConfigNodeProcess} from '../launch/config-node-process.js';
import {LogServer} from '../log-service/log-server.js';
import type {SentFigures} from './config-roles.js';

/** Number of processes that are started at the same time. */
const LAUNCH_BATCH_SIZE = 16;
const DATA_CENTRES = ['nairobi-a', 'nairobi-b', 'nairobi-c'];
const POLL_INTERVAL_MS = 20;

/** Returns `count` resources of one team, of about 200 bytes each. */
export function benchResources(count: number): Resource[] {
  const groupSpec = {maxSlots: 9, maxConnections: 130, slowStartMs: 10_000};
  const classSpec = {priority: 'interactive' as const, weight: 1};
  const resources: Resource[] = [
    makeResource('bench', 'backendServerGroup', 'servers', groupSpec),
    makeResource('bench', 'class', 'interactive', classSpec),
  ];
  for (let n = 0; resources.length < count; n++) {
    resources.push(benchService(n, 800));
    resources.push(
      makeResource('bench', 'route', `route-${n}`, {
        match: {pathPrefix: `/service-${n}`},
        service: `service-${n}`,
        class: 'interactive',
        repetition: 'repeatable',
      }),
    );
  }
  return resources;
}

/** Returns service `n` of the resource set with the given timeout in ms. */
export function benchService(n: number, timeoutMs: number): Resource {
  return makeResource('bench', 'service', `service-${n}`, {
    backendServerGroup: 'servers',
    timeoutMs,
    retryBudgetPercent: 10,
  });
}

/** A log and configuration node processes. */
export class ConfigFleet {
  readonly log = new LogServer();
  nodes: ConfigNodeProcess[] = [];
  private logUrl = '';
  /** Number of publications, for unique ids. */
  private publicationCount = 0;
  /** Version of the newest publication. */
  private version = -1;

  constructor(private readonly mode: ConfigNodeMode) {}

  /**
   * Starts the log and the nodes, publishes the resources and waits until all
   * nodes enforce them.
   */
  async start(count: number, resources: readonly Resource[]): Promise<void> {
    this.logUrl = await this.log.start();
    await this.launch(Array.from({length: count}, (unused, index) => index));
    const writes = resources.map(resource => ({key: resource.key, resource}));
    this.publish(writes, resources);
    await this.waitUntilEnforced(this.version, 60_000);
  }

  /** Starts the nodes with these numbers and sends all nodes the member list. */
  async launch(numbers: readonly number[]): Promise<void> {
    for (let start = 0; start < numbers.length; start += LAUNCH_BATCH_SIZE) {
      const batch = numbers.slice(start, start + LAUNCH_BATCH_SIZE);
      const launched = await Promise.all(
        batch.map(number =>
          ConfigNodeProcess.launch({
            nodeId: `node-${number}`,
            dataCentre: DATA_CENTRES[number % DATA_CENTRES.length] as string,
            region: 'nairobi',
            logUrl: this.logUrl,
            mode: this.mode,
          }),
        ),
      );
      this.nodes.push(...launched);
      this.sendMembers();
    }
  }

  /** Sends the member list to every node. */
  sendMembers(): void {
    const members = this.nodes.map(node => node.member);
    for (const node of this.nodes) node.setMembers(members);
  }

  /**
   * Appends a change and returns its version. In mode `poll`, the baseline, the
   * record contains the whole resource set, `allResources`.
   */
  publish(writes: ResourceWrite[], allResources: readonly Resource[]): number {
    const bodies =
      this.mode === 'poll'
        ? [JSON.stringify(allResources)]
        : buildPublication({
            id: `p${++this.publicationCount}`,
            team: 'bench',
            author: 'bench',
            base: this.version,
            writes,
          }).unwrap();
    for (const body of bodies) {
      this.version = this.log.log.append('config', body);
    }
    return this.version;
  }

  /**
   * Waits until all nodes enforce `version` or a later one. Resolves to false
   * after `timeoutMs`.
   */
  async waitUntilEnforced(
    version: number,
    timeoutMs: number,
  ): Promise<boolean> {
    const deadlineMs = Date.now() + timeoutMs;
    while (this.nodes.some(node => node.version < version)) {
      if (Date.now() > deadlineMs) return false;
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    return true;
  }

  /** Returns the number of bytes that all nodes have sent to each other. */
  async meshBytes(): Promise<number> {
    const counts = await Promise.all(this.nodes.map(node => node.count()));
    return counts.reduce((sum, count) => sum + count.controlBytesOut, 0);
  }

  /** Measures what each node sends to other nodes while `action` runs. */
  async measureSent(action: () => Promise<void>): Promise<SentFigures[]> {
    const before = await Promise.all(this.nodes.map(node => node.count()));
    await action();
    const after = await Promise.all(this.nodes.map(node => node.count()));
    return this.nodes.map(({member}, index) => {
      const {controlBytesOut = 0, messagesOut = 0} = before[index] ?? {};
      return {
        id: member.id,
        dataCentre: member.dataCentre,
        region: member.region,
        controlBytes: (after[index]?.controlBytesOut ?? 0) - controlBytesOut,
        messages: (after[index]?.messagesOut ?? 0) - messagesOut,
      };
    });
  }

  /**
   * Kills the nodes for whose numbers `isChosen` is true and starts them again.
   * Returns their numbers.
   */
  async restart(isChosen: (number: number) => boolean): Promise<number[]> {
    const chosen = this.nodes.filter(node => isChosen(numberOf(node)));
    const numbers = chosen.map(numberOf);
    this.nodes = this.nodes.filter(node => !chosen.includes(node));
    await Promise.all(chosen.map(node => node.kill()));
    await this.launch(numbers);
    return numbers;
  }

  async stop(): Promise<void> {
    await Promise.all(this.nodes.map(node => node.kill()));
    await this.log.stop();
  }
}

/** Returns the number with which a node was started. */
export function numberOf(node: ConfigNodeProcess): number {
  return Number(node.options.nodeId.slice('node-'.length));
}
