import {createSocket} from 'node:dgram';

import {expect} from 'chai';

import {CallStatisticsRecorder} from '../../src/calls/call-statistics.js';
import {MetricsTask} from '../../src/tasks/metrics-task.js';

describe('MetricsTask', () => {
  it('sends totals for each customer and class', async () => {
    const sink = createSocket('udp4');
    await new Promise<void>(resolve => sink.bind(0, '127.0.0.1', resolve));
    const lines: string[] = [];
    const complete = new Promise<void>(resolve => {
      sink.on('message', datagram => {
        lines.push(...datagram.toString().split('\n').filter(Boolean));
        if (lines.length === 14) resolve();
      });
    });
    const statistics = new CallStatisticsRecorder();
    statistics.record('nyota', 'interactive', 'answered', 2);
    statistics.record('nyota', 'interactive', 'not-run', 1);
    const task = new MetricsTask(
      {address: '127.0.0.1', port: sink.address().port, prefix: 'tm.'},
      'n1',
      'nairobi-a',
      {
        statistics,
        traffic: {controlBytesOut: 30, callBytesOut: 40, messagesOut: 2},
        version: () => 7,
        callsInFlight: () => 3,
      },
    );
    task.send();
    await complete;
    await task.stop();
    sink.close();
    expect(lines.slice(0, 14).sort()).toMatchSnapshot();
  });
});
