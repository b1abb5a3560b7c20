import {once} from 'node:events';
import {connect} from 'node:net';

import {ManualClock} from '@turmericmill/utils';
import {FrameReader, type Message} from '@turmericmill/wire';
import bunyan from 'bunyan';
import {expect} from 'chai';

import {Bus} from '../../src/bus.js';
import {TransportTask} from '../../src/transport/transport-task.js';

const HELLO = {
  minVersion: 1,
  maxVersion: 1,
  nodeId: 'node-1',
  incarnation: 1,
  dataCentre: 'dc-1',
  region: 'region-1',
};

/** The first message of a new connection. */
async function firstMessage(port: number): Promise<Message | undefined> {
  const socket = connect(port, '127.0.0.1');
  const [chunk] = (await once(socket, 'data')) as [Buffer];
  socket.destroy();
  return new FrameReader().push(chunk).unwrap()[0];
}

describe('TransportTask', () => {
  it('bounds the connections that it takes, and says why', async () => {
    const clock = new ManualClock(0);
    const logger = bunyan.createLogger({name: 'test', level: 'fatal'});
    const transport = new TransportTask(
      {address: '127.0.0.1', port: 0, hello: HELLO, acceptsPerSecond: 1},
      new Bus(),
      clock,
      logger,
    );
    await transport.start();
    const answers: string[] = [];
    for (const passMs of [0, 0, 0, 1_000, 0]) {
      clock.advance(passMs);
      const message = await firstMessage(transport.port);
      const reason = message?.type === 'goodbye' ? message.body.reason : '';
      answers.push(`${message?.type} ${reason}`.trim());
    }
    await transport.stop();
    expect(answers).to.deep.equal([
      'hello',
      'hello',
      'goodbye overload',
      'hello',
      'goodbye overload',
    ]);
  });
});
