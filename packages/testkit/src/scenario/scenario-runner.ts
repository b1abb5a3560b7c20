/** Runs a scenario against a mesh that is started for it. */

import {randomUUID} from 'node:crypto';

import type {ServerBehaviour} from '../backend-server/server-behaviour.js';
import {auditCalls} from '../caller/caller-audit.js';
import {Caller, type CallOrder} from '../caller/caller.js';
import {Load} from '../caller/load.js';
import type {LogFaults} from '../log-service/log-faults.js';
import {Mesh} from '../mesh/mesh.js';
import type {NodeProbe} from '../mesh/node-probe.js';
import {VersionWatch} from '../mesh/version-watch.js';
import {waitUntil} from '../mesh/wait-until.js';
import {measureSubject} from './measure-subject.js';
import type {
  Comparison,
  Condition,
  NodeAction,
  ScenarioOrder,
  ScenarioStep,
  ServerAction,
  StepAction,
  StepValue,
} from './scenario-step.js';

/** The last hyphenated part of a data centre's name; the rest is its region. */
const DATA_CENTRE_SUFFIX = /-[^-]*$/;

export interface ScenarioOptions {
  /** Team whose files and commands the scenario uses. */
  team: string;
  /** Directory against which `./` paths in `run` steps are resolved. */
  directory: string;
}

/** Executes the steps of one scenario in order. */
export class ScenarioRunner {
  readonly failures: string[] = [];
  private readonly mesh = new Mesh();
  private readonly caller = new Caller();
  private readonly watch = new VersionWatch(this.mesh);
  private load: Load | undefined;

  constructor(private readonly options: ScenarioOptions) {}

  /** Returns one message, with its line number, for each failed step. */
  async run(steps: readonly ScenarioStep[]): Promise<string[]> {
    await this.mesh.start();
    this.watch.start();
    try {
      for (const {line, action} of steps) {
        const failure = await this.execute(action);
        if (failure !== undefined) {
          this.failures.push(`line ${line}: ${failure}`);
        }
      }
    } finally {
      await this.load?.stop();
      this.watch.stop();
      await this.caller.close();
      await this.mesh.close();
    }
    return this.failures;
  }

  /** Returns why the step failed, or undefined if it succeeded. */
  private async execute(action: StepAction): Promise<string | undefined> {
    switch (action.kind) {
      case 'wait':
        return this.wait(action.condition, action.timeoutMs);
      case 'run':
        return this.runCommand(action.commandLine, action.exit);
      case 'expect':
        return this.expect(action);
      case 'start-node': {
        const {nodeId, dataCentre} = action;
        const region = dataCentre.replace(DATA_CENTRE_SUFFIX, '');
        await this.mesh.startNode({nodeId, dataCentre, region});
        return undefined;
      }
      case 'start-server':
        await this.mesh.startServer({...action, connections: 130});
        return undefined;
      case 'node-action':
        await this.actOnNode(action.action, action.nodeId);
        return undefined;
      case 'server-action':
        await this.actOnServer(action.action, action.name);
        return undefined;
      default:
        await this.executeUnchecked(action);
        return undefined;
    }
  }

  /** Executes a step that can fail only by throwing. */
  private async executeUnchecked(action: StepAction): Promise<void> {
    switch (action.kind) {
      case 'start-load':
        this.startLoad(action.callsPerSecond, action.orders);
        break;
      case 'stop-load':
        await this.load?.stop();
        this.load = undefined;
        break;
      case 'send':
        await this.send(action.calls, action.orders);
        break;
      case 'set-server':
        this.setServer(action.name, action.property, action.value);
        break;
      case 'set-log': {
        const faults = {[action.property]: action.value};
        this.mesh.log.setFaults(faults as Partial<LogFaults>);
        break;
      }
      case 'trim-log':
        this.mesh.log.trim(action);
        break;
      case 'sleep':
        await new Promise(resolve => setTimeout(resolve, action.ms));
        break;
      default:
        throw new Error(`Unknown step kind "${action.kind}".`);
    }
  }

  private startLoad(rate: number, orders: readonly ScenarioOrder[]): void {
    const urls = () => this.mesh.callUrls();
    this.load = new Load(
      this.caller,
      urls,
      i => buildCallOrder(orders, i),
      rate,
    );
    this.load.start();
  }

  private async send(
    calls: number,
    orders: readonly ScenarioOrder[],
  ): Promise<void> {
    const urls = this.mesh.callUrls();
    for (let i = 0; i < calls; i++) {
      const order = buildCallOrder(orders, i);
      await this.caller.call(urls[i % urls.length] as string, order);
      if (!orders[i % orders.length]?.retried) continue;
      await this.caller.call(urls[(i + 1) % urls.length] as string, order);
    }
  }

  private async actOnNode(action: NodeAction, nodeId: string): Promise<void> {
    switch (action) {
      case 'kill':
        await this.mesh.killNode(nodeId);
        break;
      case 'stop':
        await this.mesh.stopNode(nodeId);
        break;
      case 'pause':
        this.mesh.pauseNode(nodeId);
        break;
      case 'resume':
        this.mesh.resumeNode(nodeId);
        break;
      case 'restart':
        await this.mesh.restartNode(nodeId);
        break;
    }
  }

  private async actOnServer(action: ServerAction, name: string): Promise<void> {
    const server = this.mesh.server(name);
    switch (action) {
      case 'crash':
        await server.crash();
        break;
      case 'restart':
        await server.start();
        break;
      case 'silence':
        server.silence();
        break;
      case 'drain':
        await server.drain();
        break;
    }
  }

  private setServer(name: string, property: string, value: StepValue): void {
    const server = this.mesh.server(name);
    if (!(property in server.behaviour)) {
      throw new Error(`Backend servers have no property "${property}".`);
    }
    const changed = {...server.behaviour, [property]: value};
    server.behaviour = changed as ServerBehaviour;
  }

  private async runCommand(
    commandLine: string,
    exit: number,
  ): Promise<string | undefined> {
    const {team, directory} = this.options;
    const argv = commandLine
      .split(' ')
      .map(word => (word.startsWith('./') ? `${directory}/${word}` : word));
    const {code, err} = await this.mesh.cli(team, ...argv);
    if (code === exit) return undefined;
    return `"${commandLine}" exited with ${code}, expected ${exit}: ${err}`;
  }

  private async wait(
    condition: Condition,
    timeoutMs: number,
  ): Promise<string | undefined> {
    const tookMs = await waitUntil(async () => {
      const probes = this.mesh.probes();
      const met = await Promise.all(probes.map(p => isMet(condition, p)));
      return met.every(Boolean);
    }, timeoutMs);
    if (tookMs !== undefined) return undefined;
    return `${JSON.stringify(condition)} was not met within ${timeoutMs} ms`;
  }

  private expect({
    subject,
    comparison,
    bound,
  }: Extract<StepAction, {kind: 'expect'}>): string | undefined {
    const {ledger, log} = this.mesh;
    const counts = auditCalls(this.caller.calls, ledger.countByRequest());
    const actual = measureSubject(subject, {
      counts,
      calls: this.caller.calls,
      ledger,
      stepsBack: this.watch.stepsBack.length,
      configRecords: log.log.bounds('config').next,
    });
    if (isSatisfied(actual, comparison, bound)) return undefined;
    return `expected ${subject} ${comparison} ${bound}, got ${actual}`;
  }
}

/** Builds call number `index`; each keyed call gets a new idempotency key. */
function buildCallOrder(
  orders: readonly ScenarioOrder[],
  index: number,
): CallOrder {
  const {call, keyed} = orders[index % orders.length] as ScenarioOrder;
  return keyed ? {...call, idempotencyKey: randomUUID()} : call;
}

async function isMet(condition: Condition, probe: NodeProbe): Promise<boolean> {
  switch (condition.kind) {
    case 'version': {
      const version = await probe.version();
      return version !== undefined && version >= condition.version;
    }
    case 'servers':
      return (await probe.readyServers()) === condition.count;
    case 'nodes':
      return (await probe.nodes()) === condition.count;
  }
}

function isSatisfied(
  actual: number,
  comparison: Comparison,
  bound: number,
): boolean {
  if (comparison === 'is') return actual === bound;
  return comparison === 'at least' ? actual >= bound : actual <= bound;
}
