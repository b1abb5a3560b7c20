/** A server whose answers have no end, for tests. */

import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/** Bytes without end: `block` follows `prefix` again and again. */
export interface EndlessBytes {
  prefix: string;
  block: string;
}

/** Least bytes of one write. */
const WRITE_BYTES = 64 * 1024;

/** Obeys back-pressure, and stops only when its caller closes. */
export class EndlessServer {
  /** Connections that are open. */
  readonly sockets = new Set<Socket>();
  connections = 0;
  /** Bytes handed to the system on all connections, its buffers included. */
  writtenBytes = 0;
  private readonly server: Server;

  /** `answer` is asked for the first chunk of a request; undefined: no answer. */
  constructor(
    private readonly answer: (request: string) => EndlessBytes | undefined,
  ) {
    this.server = createServer(socket => this.serve(socket));
  }

  async listen(port = 0, address = '127.0.0.1'): Promise<number> {
    await new Promise<void>(resolve => {
      this.server.listen(port, address, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  /** Writes to a connection until it is closed. */
  pour(socket: Socket, {prefix, block}: EndlessBytes): void {
    const count = Math.ceil(WRITE_BYTES / Math.max(1, block.length));
    const bytes = Buffer.from(block.repeat(count), 'latin1');
    const more = () => {
      if (block === '') return;
      while (!socket.destroyed && socket.write(bytes)) {
        this.writtenBytes += bytes.length;
      }
      this.writtenBytes += bytes.length;
    };
    socket.on('drain', more);
    socket.write(prefix, 'latin1');
    more();
  }

  private serve(socket: Socket): void {
    this.connections += 1;
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    socket.once('data', chunk => {
      const bytes = this.answer(chunk.toString('latin1'));
      if (bytes) this.pour(socket, bytes);
    });
  }
}
