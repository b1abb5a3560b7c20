/** A test server whose answers never end. */

import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/** Endless bytes: `prefix`, and then `block` repeated. */
export interface EndlessBytes {
  prefix: string;
  block: string;
}

/** Minimum size of one write in bytes. */
const MIN_WRITE_BYTES = 64 * 1024;

/** Obeys backpressure and stops only when the caller closes the connection. */
export class EndlessServer {
  /** Open connections. */
  readonly sockets = new Set<Socket>();
  connections = 0;
  /** Bytes written on all connections, with those in the system's buffers. */
  writtenBytes = 0;
  private readonly server: Server;

  /** `answer` gets the first chunk of a request; undefined: no answer. */
  constructor(
    private readonly answer: (request: string) => EndlessBytes | undefined,
  ) {
    this.server = createServer(socket => this.handleConnection(socket));
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
  writeEndlessly(socket: Socket, {prefix, block}: EndlessBytes): void {
    const count = Math.ceil(MIN_WRITE_BYTES / Math.max(1, block.length));
    const bytes = Buffer.from(block.repeat(count), 'latin1');
    const writeMore = () => {
      if (block === '') return;
      while (!socket.destroyed && socket.write(bytes)) {
        this.writtenBytes += bytes.length;
      }
      this.writtenBytes += bytes.length;
    };
    socket.on('drain', writeMore);
    socket.write(prefix, 'latin1');
    writeMore();
  }

  private handleConnection(socket: Socket): void {
    this.connections += 1;
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    socket.once('data', chunk => {
      const bytes = this.answer(chunk.toString('latin1'));
      if (bytes) this.writeEndlessly(socket, bytes);
    });
  }
}
