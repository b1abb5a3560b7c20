/** A TCP relay on the loopback address that injects faults. */

import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** Interval in ms at which bytes are forwarded. */
const STEP_MS = 10;
const MS_PER_S = 1000;

interface Pipe {
  from: Socket;
  to: Socket;
  /** If true, all further bytes are discarded; both ends stay open. */
  isSilenced: boolean;
}

export class Relay {
  port = 0;
  /** Bytes forwarded per second in each direction of each connection. */
  bytesPerSecond = Infinity;
  /** While true, forwards nothing in either direction. */
  paused = false;
  /** While true, new connections are accepted and all their bytes discarded. */
  silencesNew = false;
  private readonly pipes = new Set<Pipe>();
  private readonly server = createServer({pauseOnConnect: true}, socket =>
    this.accept(socket),
  );
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly targetPort: () => number) {}

  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    this.port = (this.server.address() as AddressInfo).port;
    this.timer = setInterval(() => this.step(), STEP_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.reset();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Permanently silences the connections that are open now; new ones work. */
  silenceOpen(): void {
    for (const pipe of this.pipes) pipe.isSilenced = true;
  }

  /** Closes the connections that are open now. */
  reset(): void {
    for (const {from} of this.pipes) from.destroy();
    this.pipes.clear();
  }

  get connections(): number {
    return this.pipes.size / 2;
  }

  private accept(near: Socket): void {
    const far = connect(this.targetPort(), '127.0.0.1');
    far.pause();
    const isSilenced = this.silencesNew;
    const forward = {from: near, to: far, isSilenced};
    const backward = {from: far, to: near, isSilenced};
    this.pipes.add(forward);
    this.pipes.add(backward);
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        if (forward.isSilenced) return;
        this.pipes.delete(forward);
        this.pipes.delete(backward);
        near.destroy();
        far.destroy();
      });
      socket.on('end', () => {
        if (!forward.isSilenced) (socket === near ? far : near).end();
      });
    }
  }

  private step(): void {
    if (this.paused) return;
    const maxBytes = Math.ceil((this.bytesPerSecond * STEP_MS) / MS_PER_S);
    for (const {from, to, isSilenced} of this.pipes) {
      const length = Math.min(from.readableLength, maxBytes);
      const bytes = (
        length > 0 ? from.read(length) : from.read(0)
      ) as Buffer | null;
      if (bytes && !isSilenced) to.write(bytes);
    }
  }
}
