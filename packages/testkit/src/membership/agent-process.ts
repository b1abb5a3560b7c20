/** Starts membership agents and exchanges messages with them. */

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

const AGENT_MAIN = fileURLToPath(new URL('./agent-main.js', import.meta.url));

/** Limit in MiB of an agent's heap, as on a small host. */
const MAX_HEAP_MIB = 64;

/** Handle of one agent process. */
export class AgentProcess {
  private constructor(
    readonly options: AgentOptions,
    private readonly child: ChildProcess,
    readonly port: number,
  ) {}

  /** Starts an agent; resolves when it reports that its sockets are open. */
  static async launch(options: AgentOptions): Promise<AgentProcess> {
    const child = fork(AGENT_MAIN, [JSON.stringify(options)], {
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
    return (await this.request({type: 'report'})) as AgentReport;
  }

  /**
   * Time in ms since the epoch at which this agent observed the member `id` in
   * `condition`, or null if it has not.
   */
  async when(id: string, condition: SeenCondition): Promise<number | null> {
    const reply = await this.request({type: 'when', id, condition});
    return reply.type === 'when' ? reply.atMs : null;
  }

  setState(state: ServerState): void {
    const req: AgentRequest = {type: 'set-state', state};
    this.child.send(req);
  }

  /** Kills the process without a clean shutdown. */
  async kill(): Promise<void> {
    const exited = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exited;
  }

  /**
   * Sends a request and resolves with the next message of the agent. Replies
   * carry no request ID, so only one request may be pending per agent.
   */
  private async request(req: AgentRequest): Promise<AgentReply> {
    const reply = once(this.child, 'message');
    this.child.send(req);
    return ((await reply) as [AgentReply])[0];
  }
}
