/** Pool of connections to one start of the backend server. */

import type {Clock} from '@turmericmill/utils';

import type {AnswerBudget} from '../answer-budget.js';
import {
  ServerConnection,
  type ExchangeEnd,
  type WireRequest,
} from './server-connection.js';

/** Time in ms within which a connection to a server of this host must open. */
const CONNECT_TIMEOUT_MS = 300;
/**
 * Idle time in ms after which a connection is not reused for a request that
 * must not be repeated: the server may close it while the request is sent.
 */
const MAX_IDLE_UNREPEATABLE_MS = 1_000;

/** A running exchange. */
export interface PoolExchange {
  /** Closes the connection, so that the server stops working on the request. */
  cancel(): void;
}

export class ServerPool {
  private readonly idleConnections: ServerConnection[] = [];
  private readonly connections = new Set<ServerConnection>();

  constructor(
    private readonly address: string,
    private readonly port: number,
    private readonly clock: Clock,
    private readonly answerBudget: AnswerBudget,
  ) {}

  /** Sends a request over an idle connection, or else over a new one. */
  run(
    req: WireRequest,
    repeatable: boolean,
    settle: (end: ExchangeEnd) => void,
  ): PoolExchange {
    let connection = this.takeIdle(repeatable);
    let cancelled = false;
    const start = (ready: ServerConnection) => {
      connection = ready;
      ready.exchange(req, end => {
        if (!cancelled) settle(end);
        this.release(ready);
      });
    };
    if (connection) start(connection);
    else {
      this.connect().then(
        ready => {
          if (cancelled) this.addIdle(ready);
          else start(ready);
        },
        (err: unknown) => {
          const detail = err instanceof Error ? err.message : String(err);
          if (!cancelled) settle({kind: 'not-sent', detail});
        },
      );
    }
    return {
      cancel: () => {
        cancelled = true;
        connection?.close('cancelled');
      },
    };
  }

  /** Returns whether the server accepts a connection; keeps it for later. */
  async probe(): Promise<boolean> {
    try {
      this.addIdle(await this.connect());
      return true;
    } catch {
      // The caller logs the change; the kind of failure makes no difference.
      return false;
    }
  }

  /** Closes all connections; running exchanges end as `lost`. */
  destroy(detail: string): void {
    for (const connection of [...this.connections]) connection.close(detail);
  }

  private async connect(): Promise<ServerConnection> {
    const {address, port, answerBudget} = this;
    const connection = await ServerConnection.open(
      address,
      port,
      CONNECT_TIMEOUT_MS,
      answerBudget,
    );
    this.connections.add(connection);
    connection.onClosed = () => {
      this.connections.delete(connection);
      const index = this.idleConnections.indexOf(connection);
      if (index >= 0) this.idleConnections.splice(index, 1);
    };
    return connection;
  }

  /**
   * Returns the connection that was used last, as the server is least likely to
   * have closed it.
   */
  private takeIdle(repeatable: boolean): ServerConnection | undefined {
    const nowMs = this.clock.now();
    for (let i = this.idleConnections.length - 1; i >= 0; i--) {
      const connection = this.idleConnections[i] as ServerConnection;
      if (!connection.isUsable(nowMs)) {
        connection.close('idle');
        continue;
      }
      const idleMs = nowMs - connection.idleSinceMs;
      if (!repeatable && idleMs > MAX_IDLE_UNREPEATABLE_MS) return undefined;
      this.idleConnections.splice(i, 1);
      return connection;
    }
    return undefined;
  }

  private release(connection: ServerConnection): void {
    queueMicrotask(() => {
      if (!connection.isClosed) this.addIdle(connection);
    });
  }

  private addIdle(connection: ServerConnection): void {
    if (connection.isClosed) return;
    connection.idleSinceMs = this.clock.now();
    this.idleConnections.push(connection);
  }
}
