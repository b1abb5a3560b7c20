import {expect} from 'chai';

import {COMMANDS} from '../src/commands/index.js';
import {CliHarness} from './fake-context.js';

describe('runCli', () => {
  let cli: CliHarness;

  beforeEach(() => {
    cli = new CliHarness();
  });

  it('prints the help of the program', async () => {
    expect(await cli.run('--help')).toMatchSnapshot();
  });

  for (const {name} of COMMANDS) {
    it(`prints the help of ${name}`, async () => {
      expect(await cli.run(name, '--help')).toMatchSnapshot();
    });
  }

  const commandLines = [
    ['status'],
    ['status', '--json'],
    ['servers', '--group', 'x/y', '--limit', '1'],
    ['servers', '--json'],
    ['calls'],
    ['calls', '--json'],
    ['drain', 'a-1/s-1'],
    ['drain', 'a-1', '--undo', '--json'],
  ];
  for (const argv of commandLines) {
    it(`runs ${argv.join(' ')}`, async () => {
      expect(await cli.run(...argv)).toMatchSnapshot();
    });
  }

  const usageErrors: {argv: string[]; message: string}[] = [
    {argv: [], message: ''},
    {argv: ['pubish'], message: 'Unknown command "pubish"'},
    {argv: ['--json', 'status'], message: 'Unknown command "--json"'},
    {argv: ['status', '--jsn'], message: 'Unknown flag --jsn'},
    {argv: ['status', 'now'], message: 'Unexpected argument "now"'},
    {argv: ['servers', '--limit', 'all'], message: '--limit wants a number'},
    {argv: ['status', '--token='], message: '--token wants a value'},
    {argv: ['drain'], message: 'Missing argument NODE[/SERVER]'},
    {argv: ['drain', 'a/'], message: 'not NODE or NODE/SERVER'},
    {argv: ['drain', 'a/b/c'], message: 'not NODE or NODE/SERVER'},
    {argv: ['status', '--profile', 'none.json'], message: 'Cannot read'},
    {
      argv: ['status', '--profile', 'bad.json'],
      message: 'did you mean "admin"',
    },
  ];
  for (const {argv, message} of usageErrors) {
    it(`refuses "${argv.join(' ')}" as a usage error`, async () => {
      cli.files.set('bad.json', '{"admn": ["http://10.0.0.1:1"]}');
      const res = await cli.run(...argv);
      expect(res.code).to.equal(2);
      expect(res.err).to.contain(message);
      expect(cli.admin.drains).to.deep.equal([]);
    });
  }

  it('names flag, variable and profile if no node address is given', async () => {
    cli.env = {};
    const res = await cli.run('status');
    expect(res.code).to.equal(2);
    expect(res.err).to.contain('--admin, TURMERICMILL_ADMIN or a profile');
  });

  it('gives precedence to flags, then environment, then profile', async () => {
    cli.files.set('p.json', '{"admin": ["http://3"], "token": "profile"}');
    cli.env = {TURMERICMILL_PROFILE: 'p.json'};
    await cli.run('status');
    cli.env['TURMERICMILL_ADMIN'] = 'http://2,http://2b';
    await cli.run('status');
    await cli.run('status', '--admin', 'http://1', '--token', 'flag');
    expect(cli.opened).to.deep.equal([
      {urls: ['http://3'], token: 'profile'},
      {urls: ['http://2', 'http://2b'], token: 'profile'},
      {urls: ['http://1'], token: 'flag'},
    ]);
  });

  const failures = [
    {exit: 'unreachable', code: 3},
    {exit: 'unauthorized', code: 7},
    {exit: 'not-found', code: 8},
  ] as const;
  for (const {exit, code} of failures) {
    it(`exits with ${code} on ${exit}`, async () => {
      cli.admin.failure = {exit, message: 'The reason.'};
      const res = await cli.run('status', '--json');
      expect(res.code).to.equal(code);
      expect(res.err).to.equal('The reason.');
      const expected = {error: cli.admin.failure};
      expect(JSON.parse(res.out)).to.deep.equal(expected);
    });
  }
});
