import {expect} from 'chai';

import {CliHarness} from '../fake-context.js';

interface Line {
  nodeId: string;
  second: number;
  msg: string;
  [field: string]: unknown;
}

function line({second, ...fields}: Line): string {
  const time = new Date(Date.UTC(2026, 0, 15, 18, 51, second)).toISOString();
  const commonFields = {
    name: 'turmericmill-sidecar',
    hostname: 'h',
    pid: 7,
    level: 30,
  };
  return JSON.stringify({...commonFields, ...fields, time, v: 0});
}

const ENTRY_LOG = [
  line({nodeId: 'n-1', second: 1, msg: 'configuration in force', version: 4}),
  line({nodeId: 'n-1', second: 2, msg: 'store lost'}),
  line({
    nodeId: 'n-1',
    second: 20,
    msg: 'peer connection closed',
    reason: 'silent',
  }),
  line({
    nodeId: 'n-1',
    second: 21,
    msg: 'request failed',
    requestId: 'q-1',
    version: 4,
    reason: 'connection-lost',
    mayHaveRun: true,
  }),
  line({nodeId: 'n-1', second: 22, msg: 'store regained'}),
].join('\n');

const OTHER_LOG = [
  line({nodeId: 'n-2', second: 20, msg: 'server lost'}),
  line({nodeId: 'n-2', second: 21, msg: 'request refused', requestId: 'q-2'}),
].join('\n');

describe('trace', () => {
  let cli: CliHarness;

  beforeEach(() => {
    cli = new CliHarness();
    cli.files.set('1.log', ENTRY_LOG);
    cli.files.set('2.log', OTHER_LOG);
  });

  it('shows the lines of a request and the context at its node', async () => {
    expect(await cli.run('trace', 'q-1', '1.log', '2.log')).toMatchSnapshot();
  });

  it('prints the lines as JSON', async () => {
    const {out} = await cli.run('trace', 'q-2', '1.log', '2.log', '--json');
    const entries = JSON.parse(out) as {event: string; isContext: boolean}[];
    expect(entries.map(({event}) => event)).to.deep.equal([
      'server lost',
      'request refused',
    ]);
  });

  it('reports the place of damaged lines and shows the others', async () => {
    const damaged = `other output\n${ENTRY_LOG.slice(0, -20)}\n{"msg":"x"}`;
    cli.files.set('1.log', damaged);
    const {code, err, out} = await cli.run('trace', 'q-1', '1.log');
    expect(code).to.equal(0);
    expect(out).to.contain('request failed');
    expect(err).to.match(/1\.log:6:1 damaged-line: /);
    expect(err).to.contain('1.log:7:1 damaged-line: has no time');
  });

  const failures: {argv: string[]; code: number; message: string}[] = [
    {argv: [], code: 2, message: 'Missing argument REQUEST-ID.'},
    {argv: ['q-1'], code: 2, message: 'Missing argument FILE...'},
    {argv: ['q-1', 'none.log'], code: 2, message: 'Cannot read none.log.'},
    {argv: ['q-9', '1.log'], code: 8, message: 'No line of request q-9'},
  ];
  for (const {argv, code, message} of failures) {
    it(`exits with ${code} on "${argv.join(' ')}"`, async () => {
      const res = await cli.run('trace', ...argv);
      expect(res.code).to.equal(code);
      expect(res.err).to.contain(message);
    });
  }
});
