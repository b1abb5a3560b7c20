import {once} from 'node:events';
import {connect} from 'node:net';

import type {MeshConfig} from '@turmericmill/config';
import {Bus} from '@turmericmill/node';
import {ManualClock, SeededRandom} from '@turmericmill/utils';
import {expect} from 'chai';

import {IngressServer} from '../../src/ingress/ingress-server.js';
import type {RequestDispatch} from '../../src/ingress/request-dispatch.js';
import type {RoutedRequest} from '../../src/ingress/routed-request.js';

const CONFIG: MeshConfig = {
  version: 1,
  routes: [
    {
      name: 'r-1',
      host: 'shop.example',
      pathPrefix: '/d/',
      kind: 'safe',
      timeoutMs: 800,
      targetLatencyMs: 400,
      rank: 1,
      maxAttempts: 2,
      split: [{service: 'desk', weight: 1}],
    },
  ],
  services: [{name: 'desk', healthCheckPath: '/health', maxConnections: 9}],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

const REQUEST = 'GET /d/x HTTP/1.1\r\nhost: shop.example\r\n\r\n';
/** Turns of the event loop after which a request has long been passed on. */
const TURNS = 20;

/** An ingress that notes which requests it passes on, and answers none. */
class Fixture {
  readonly passedOn: RoutedRequest[] = [];
  readonly server: IngressServer;

  constructor() {
    const bus = new Bus();
    const dispatch = {
      dispatch: (request: RoutedRequest) => {
        this.passedOn.push(request);
        return Promise.resolve({kind: 'left', tries: 1});
      },
    } as unknown as RequestDispatch;
    this.server = new IngressServer({
      listen: {address: '127.0.0.1', port: 0},
      callerService: 'desk',
      dispatch,
      bus,
      clock: new ManualClock(1_000),
      random: new SeededRandom(1),
      onEnded: () => undefined,
      onRejected: () => undefined,
      onBrokenOff: () => undefined,
      onUndelivered: () => undefined,
    });
    bus.publish('mesh-config', {config: CONFIG});
  }
}

async function turns(count: number): Promise<void> {
  for (let i = 0; i < count; i++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

describe('IngressServer', () => {
  let fixture: Fixture;

  beforeEach(async () => {
    fixture = new Fixture();
    await fixture.server.start();
  });

  afterEach(() => fixture.server.stop());

  async function send(): Promise<ReturnType<typeof connect>> {
    const socket = connect(fixture.server.port, '127.0.0.1');
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    socket.write(REQUEST);
    return socket;
  }

  it('passes on the request of a caller that waits', async () => {
    const socket = await send();
    await turns(TURNS);
    expect(fixture.passedOn).to.have.length(1);
    socket.destroy();
  });

  for (const way of ['end', 'destroy', 'resetAndDestroy'] as const) {
    it(`keeps back a request whose caller has left (${way})`, async () => {
      const socket = await send();
      socket[way]();
      await turns(TURNS);
      expect(fixture.passedOn).to.deep.equal([]);
      socket.destroy();
    });
  }
});
