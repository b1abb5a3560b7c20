import {once} from 'node:events';
import {createServer, get, type IncomingMessage} from 'node:http';
import {
  connect,
  createServer as createNetServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

import {blockEventLoop} from '@turmericmill/utils';
import {expect} from 'chai';

import {
  NO_LOAD,
  type CallEvents,
  type CallLeg,
} from '../../src/calls/call-leg.js';
import {CallerExchange} from '../../src/calls/caller-exchange.js';

/** Time in ms left for a call that is to be late. */
const TIME_LEFT_MS = 100;

async function listen(server: Server): Promise<number> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

describe('CallerExchange', () => {
  // Timers ran before reads after a standstill of the process.
  it('takes an answer that was there when its time was over', async () => {
    const nodes = createNetServer();
    const accepted = once(nodes, 'connection');
    const node = connect(await listen(nodes), '127.0.0.1');
    const [peer] = (await accepted) as [Socket];
    const leg: CallLeg = {
      data: () => undefined,
      end: () => undefined,
      credit: () => undefined,
      cancel: () => node.removeAllListeners('data'),
    };
    const run = (events: CallEvents) => {
      node.once('data', chunk => {
        events.answerStart(200, [], {...NO_LOAD});
        events.answerData(chunk);
        events.answerEnd([]);
      });
      setImmediate(() => {
        peer.write('whole');
        blockEventLoop(2 * TIME_LEFT_MS);
      });
      return leg;
    };
    const first = {chunk: new Uint8Array(), end: true};
    const callers = createServer((req, res) => {
      const exchange = new CallerExchange(req, res);
      void exchange.runTry(first, run, TIME_LEFT_MS).then(end => {
        if (end.kind === 'failed') exchange.refuse(end.failure);
      });
    });
    const request = get({port: await listen(callers), host: '127.0.0.1'});
    const [res] = (await once(request, 'response')) as [IncomingMessage];
    res.resume();
    node.destroy();
    peer.destroy();
    nodes.close();
    callers.closeAllConnections();
    callers.close();
    expect(res.statusCode).to.equal(200);
  });
});
