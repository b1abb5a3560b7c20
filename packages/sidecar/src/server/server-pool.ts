/** Connections to one start of the backend server. */

import type {Clock} from '@turmericmill/utils';

import type {AnswerBudget} from '../answer-budget.js';
import {
  ServerConnection,
  type ExchangeEnd,
  type WireRequest,
} from './server-connection.js';

/** Time in ms within which a connection to a server of this host is open. */
const CONNECT_TIMEOUT_MS = 300;
/**
 * Idle time in ms after which a request that must not repeat opens a
 * connection of its own: a server may drop an idle one at that moment.
 */
const MAX_IDLE_UNREPEATABLE_MS = 1_000;

/** A running exchange. */
export interface PoolExchange {
  /** Ends the exchange; its connection is closed so that the server stops. */
  cancel(): void;
}

export class ServerPool {
  private readonly idle: ServerConnection[] = [];
  private readonly open = new Set<ServerConnection>();

  constructor(
    private readonly address: string,
    private readonly port: number,
    private readonly clock: Clock,
    private readonly answers: AnswerBudget,
  ) {}

  /** Sends a request over a kept connection or a new one. */
  run(
    req: WireRequest,
    repeatable: boolean,
    settle: (end: ExchangeEnd) => void,
  ): PoolExchange {
    let connection = this.takeIdle(repeatable);
    let cancelled = false;
    const begin = (ready: ServerConnection) => {
      connection = ready;
      ready.exchange(req, end => {
        if (!cancelled) settle(end);
        this.release(ready);
      });
    };
    if (connection) begin(connection);
    else {
      this.connect().then(
        ready => {
          if (cancelled) this.keep(ready);
          else begin(ready);
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

  /** Opens a connection to see whether the server takes any. */
  async probe(): Promise<boolean> {
    try {
      this.keep(await this.connect());
      return true;
    } catch {
      // The caller treats any failure to connect alike and logs the change.
      return false;
    }
  }

  /** Closes all connections; running exchanges are lost. */
  destroy(detail: string): void {
    for (const connection of [...this.open]) connection.close(detail);
  }

  private async connect(): Promise<ServerConnection> {
    const {address, port, answers} = this;
    const connection = await ServerConnection.open(
      address,
      port,
      CONNECT_TIMEOUT_MS,
      answers,
    );
    this.open.add(connection);
    connection.onClosed = () => {
      this.open.delete(connection);
      const index = this.idle.indexOf(connection);
      if (index >= 0) this.idle.splice(index, 1);
    };
    return connection;
  }

  /** The connection that was used last is the least likely to be gone. */
  private takeIdle(repeatable: boolean): ServerConnection | undefined {
    const nowMs = this.clock.now();
    for (let i = this.idle.length - 1; i >= 0; i--) {
      const connection = this.idle[i] as ServerConnection;
      if (!connection.isUsable(nowMs)) {
        connection.close('idle');
        continue;
      }
      const idleMs = nowMs - connection.idleSinceMs;
      if (!repeatable && idleMs > MAX_IDLE_UNREPEATABLE_MS) return undefined;
      this.idle.splice(i, 1);
      return connection;
    }
    return undefined;
  }

  private release(connection: ServerConnection): void {
    queueMicrotask(() => {
      if (!connection.isClosed) this.keep(connection);
    });
  }

  private keep(connection: ServerConnection): void {
    if (connection.isClosed) return;
    connection.idleSinceMs = this.clock.now();
    this.idle.push(connection);
  }
}
