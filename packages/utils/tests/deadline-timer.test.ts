import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

import {expect} from 'chai';

import {DeadlineTimer, sleep, blockEventLoop} from '../src/index.js';

const DELAY_MS = 20;

describe('DeadlineTimer', () => {
  it('fires after pending reads when the process was blocked', async () => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const accepted = new Promise<Socket>(resolve => {
      server.once('connection', resolve);
    });
    const client = connect(port, '127.0.0.1');
    const peer = await accepted;
    const seen: string[] = [];
    client.on('data', () => seen.push('read'));
    const fired = new Promise<void>(resolve => {
      new DeadlineTimer().set(DELAY_MS, () => {
        seen.push('timer');
        resolve();
      });
    });
    peer.write('x');
    blockEventLoop(2 * DELAY_MS);
    await fired;
    expect(seen).to.deep.equal(['read', 'timer']);
    client.destroy();
    peer.destroy();
    server.close();
  });

  const CHANGES: {name: string; change: (timer: DeadlineTimer) => void}[] = [
    {
      name: 'cleared before its delay has passed',
      change: timer => timer.clear(),
    },
    {
      name: 'cleared between its delay and its callback',
      change: timer => {
        setTimeout(() => timer.clear(), DELAY_MS);
        // Timers that are both overdue run together, before any immediate.
        blockEventLoop(2 * DELAY_MS);
      },
    },
    {
      name: 'set again',
      change: timer => timer.set(1_000_000, () => undefined),
    },
  ];
  for (const {name, change} of CHANGES) {
    it(`does not fire when ${name}`, async () => {
      const timer = new DeadlineTimer();
      let runs = 0;
      timer.set(DELAY_MS, () => {
        runs += 1;
      });
      change(timer);
      await sleep(3 * DELAY_MS);
      timer.clear();
      expect(runs).to.equal(0);
    });
  }

  it('fires once, after the delay that follows the last refresh', async () => {
    const timer = new DeadlineTimer();
    let runs = 0;
    timer.set(5 * DELAY_MS, () => {
      runs += 1;
    });
    await sleep(3 * DELAY_MS);
    timer.refresh();
    await sleep(3 * DELAY_MS);
    expect(runs).to.equal(0);
    await sleep(4 * DELAY_MS);
    timer.refresh();
    await sleep(6 * DELAY_MS);
    expect(runs).to.equal(1);
  });
});
