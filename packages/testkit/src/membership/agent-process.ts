/** Starts and questions membership agents. */

import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

import type {ServerState} from '@turmericmill/wire';

import type {
  AgentOptions,
  AgentReply,
  AgentReport,
  AgentRequest,
  SeenCondition,
} from './agent-protocol.js';

const MAIN = fileURLToPath(new URL('./agent-main.js', import.meta.url));

/** Bounds the agent's heap in MiB, as a small host would. */
const MAX_HEAP_MIB = 64;

/** One agent process. */
export class AgentProcess {
  private constructor(
    readonly options: AgentOptions,
    private readonly child: ChildProcess,
    readonly port: number,
  ) {}

  /** Resolves when the agent's sockets are open. */
  static async launch(options: AgentOptions): Promise<AgentProcess> {
    const child = fork(MAIN, [JSON.stringify(options)], {
      execArgv: [`--max-old-space-size=${MAX_HEAP_MIB}`],
    });
    const [reply] = (await once(child, 'message')) as [AgentReply];
    if (reply.type !== 'ready') throw new Error('The agent is not ready.');
    return new AgentProcess(options, child, reply.port);
  }

  get meshAddress(): string {
    return `127.0.0.1:${this.port}`;
  }

  async report(): Promise<AgentReport> {
    return (await this.ask({type: 'report'})) as AgentReport;
  }

  /** Time in ms at which this agent saw the subject so, or null. */
  async when(id: string, condition: SeenCondition): Promise<number | null> {
    const reply = await this.ask({type: 'when', id, condition});
    return reply.type === 'when' ? reply.atMs : null;
  }

  setState(state: ServerState): void {
    const req: AgentRequest = {type: 'set-state', state};
    this.child.send(req);
  }

  /** Ends the process without warning. */
  async kill(): Promise<void> {
    const exited = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exited;
  }

  /** One question at a time for each agent. */
  private async ask(req: AgentRequest): Promise<AgentReply> {
    const reply = once(this.child, 'message');
    this.child.send(req);
    return ((await reply) as [AgentReply])[0];
  }
}
