/** Promises for events of sockets. */

import type {Socket} from 'node:net';

/** Resolves once all written data has been sent, or the socket has closed. */
export function whenSent(socket: Socket): Promise<void> {
  if (socket.writableFinished) return Promise.resolve();
  return new Promise(resolve => {
    socket.once('finish', resolve);
    socket.once('close', () => resolve());
  });
}

export function whenClosed(socket: Socket): Promise<void> {
  return new Promise(resolve => socket.once('close', () => resolve()));
}
