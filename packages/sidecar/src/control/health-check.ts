/** Asks the server of this host whether it is healthy and not leaving. */

import {request} from 'node:http';

import {
  readHealthyServerId,
  type HostAddress,
} from '@turmericmill/platform-adapter';
import {DeadlineTimer} from '@turmericmill/utils';

/** Timeout in ms of a health check. */
const TIMEOUT_MS = 1_000;

/**
 * Resolves with the id of the server that states that it is healthy, or with
 * undefined. The body of the answer is not read.
 */
export function askHealthyServerId(
  {address, port}: HostAddress,
  path: string,
): Promise<string | undefined> {
  return new Promise(resolve => {
    const timer = new DeadlineTimer();
    const req = request({host: address, port, path, agent: false});
    const finish = (id: string | undefined) => {
      timer.clear();
      req.destroy();
      resolve(id);
    };
    timer.set(TIMEOUT_MS, () => finish(undefined));
    req.once('response', ({statusCode, headers}) =>
      finish(readHealthyServerId(statusCode, headers)),
    );
    // A server that cannot be reached has not stated anything.
    req.on('error', () => finish(undefined));
    req.end();
  });
}
