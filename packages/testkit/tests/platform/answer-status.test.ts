import type {Socket} from 'node:net';

import {expect} from 'chai';

import {idLine, RawServerHost, SEAL} from './raw-server-host.js';
import {get} from './smallest-host.js';

/**
 * Time in ms within which a request ends that can not be served; its caller
 * would wait for 3 s.
 */
const AT_ONCE_MS = 500;

const STATUSES = ['000', '001', '099', '600', '999', '20', '2000', '200x'];

function answerWithStatus(socket: Socket, request: string): void {
  const [, status = ''] = /^GET \/d\/(\w+) /.exec(request) ?? [];
  const lines = [SEAL, idLine(request), 'Content-Length: 3'].join('\r\n');
  socket.write(`HTTP/1.1 ${status} Odd\r\n${lines}\r\n\r\nodd`);
}

// A status that is none reached the caller as an answer, or the caller waited
// for another answer until its time was over.
describe('an answer whose status is not of HTTP', function () {
  this.timeout(20_000);
  let host: RawServerHost;

  before(async () => {
    host = new RawServerHost(answerWithStatus);
    await host.start(4);
  });

  after(() => host.stop());

  for (const status of STATUSES) {
    it(`ends the request at once with 502: ${status}`, async () => {
      const startedMs = performance.now();
      expect(await get(host.ip, `/d/${status}`)).to.equal(502);
      expect(performance.now() - startedMs).to.be.below(AT_ONCE_MS);
      expect(await get(host.ip, '/d/whole')).to.equal(200);
    });
  }

  it('does not concern the other statuses', async () => {
    expect(await get(host.ip, '/d/200')).to.equal(200);
    expect(await get(host.ip, '/d/599')).to.equal(599);
  });
});
