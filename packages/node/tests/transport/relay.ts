/** A TCP relay on the loopback address whose faults a test controls. */

import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** Interval in ms at which bytes are passed on. */
const STEP_MS = 10;
const MS_PER_S = 1000;

interface Pipe {
  from: Socket;
  to: Socket;
  /** Swallows all further bytes, and never tells either end. */
  forgotten: boolean;
}

export class Relay {
  port = 0;
  /** Bytes that each direction of each connection passes on in a second. */
  bytesPerSecond = Infinity;
  /** Passes nothing on, in either direction, until it is false again. */
  paused = false;
  /** Takes new connections and never passes on any of their bytes. */
  swallowsNew = false;
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

  /** The connections open by now go silent for good; new ones work. */
  forgetOpen(): void {
    for (const pipe of this.pipes) pipe.forgotten = true;
  }

  /** Ends the connections open by now. */
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
    const forgotten = this.swallowsNew;
    const there = {from: near, to: far, forgotten};
    const back = {from: far, to: near, forgotten};
    this.pipes.add(there);
    this.pipes.add(back);
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        if (there.forgotten) return;
        this.pipes.delete(there);
        this.pipes.delete(back);
        near.destroy();
        far.destroy();
      });
      socket.on('end', () => {
        if (!there.forgotten) (socket === near ? far : near).end();
      });
    }
  }

  private step(): void {
    if (this.paused) return;
    const most = Math.ceil((this.bytesPerSecond * STEP_MS) / MS_PER_S);
    for (const {from, to, forgotten} of this.pipes) {
      const length = Math.min(from.readableLength, most);
      const bytes = (
        length > 0 ? from.read(length) : from.read(0)
      ) as Buffer | null;
      if (bytes && !forgotten) to.write(bytes);
    }
  }
}
