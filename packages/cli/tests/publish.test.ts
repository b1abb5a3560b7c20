import {expect} from 'chai';

import {CliHarness, fleetStatus} from './fake-context.js';
import {FakeLogClient, type AppendFault} from './fake-log.js';

const FILES = {
  classes: [{name: 'interactive', priority: 'interactive'}],
  backendServerGroups: [{name: 'lamps', maxSlots: 12, maxConnections: 130}],
  services: [{name: 'lamps', backendServerGroup: 'lamps', timeoutMs: 500}],
  routes: [
    {
      name: 'status',
      match: {pathPrefix: '/lamps'},
      service: 'lamps',
      class: 'interactive',
    },
  ],
};

describe('commands on the log', () => {
  let cli: CliHarness;
  let log: FakeLogClient;

  beforeEach(() => {
    cli = new CliHarness();
    log = new FakeLogClient();
    cli.log = log;
    cli.env['TURMERICMILL_TEAM'] = 'nyota';
    cli.env['TURMERICMILL_AUTHOR'] = 'amina';
    write(FILES);
  });

  function write(content: object, file = 'files/a.json'): void {
    cli.files.set(file, JSON.stringify(content, null, 2));
  }

  function withTimeout(timeoutMs: number): object {
    const [service] = FILES.services;
    return {...FILES, services: [{...service, timeoutMs}]};
  }

  it('publishes, changes, shows and rolls back a file set', async () => {
    const runs = [await cli.run('plan', 'files')];
    runs.push(await cli.run('publish', 'files', '--message', 'first'));
    write(withTimeout(800));
    runs.push(await cli.run('plan', 'files'));
    runs.push(await cli.run('publish', 'files'));
    runs.push(await cli.run('publish', 'files'));
    runs.push(await cli.run('show'));
    runs.push(await cli.run('show', '1'));
    runs.push(await cli.run('show', 'nyota/service/lamps'));
    runs.push(await cli.run('rollback', '0'));
    runs.push(await cli.run('rollback', '0'));
    runs.push(await cli.run('history'));
    runs.push(await cli.run('history', '--limit', '1', '--json'));
    expect(runs).toMatchSnapshot();
  });

  // Guards against a second append of a publication whose answer was lost, and
  // against an exit code that reports a certain outcome when it is unknown.
  interface FaultCase {
    faults: AppendFault[];
    lasting?: AppendFault;
    code: number;
    records: number;
  }
  const faultCases: FaultCase[] = [
    {faults: ['answer-lost'], code: 0, records: 1},
    {faults: ['request-lost'], code: 0, records: 1},
    {faults: ['unavailable', 'answer-lost'], code: 0, records: 1},
    {faults: [], lasting: 'unavailable', code: 3, records: 0},
    {faults: [], lasting: 'request-lost', code: 6, records: 0},
    {faults: ['request-lost'], lasting: 'unavailable', code: 6, records: 0},
    {faults: ['refused'], code: 1, records: 0},
  ];
  for (const {faults: appendFaults, lasting, code, records} of faultCases) {
    const all = [...appendFaults, lasting ? `lasting ${lasting}` : ''];
    it(`publish exits with ${code} after ${all.join(' ')}`, async () => {
      log.appendFaults = [...appendFaults];
      log.lastingFault = lasting;
      const res = await cli.run('publish', 'files');
      expect(res.code).to.equal(code);
      expect(log.records).to.have.length(records);
    });
  }

  it('has one effect when a lost record arrives after its retry', async () => {
    log.appendFaults = ['request-lost'];
    await cli.run('publish', 'files');
    log.store(log.records[0]?.body ?? '');
    const {out} = await cli.run('history', '--json');
    expect(JSON.parse(out)).to.have.length(1);
  });

  it('reports an unknown outcome when the verdict cannot be read', async () => {
    log.beforeAppend = () => {
      log.readFaults = Array<'unavailable'>(999).fill('unavailable');
    };
    const res = await cli.run('publish', 'files');
    expect(res.code).to.equal(6);
    expect(res.err).to.contain('publication-1');
  });

  it('exits with 4 when another publication came first', async () => {
    await cli.run('publish', 'files');
    write(withTimeout(800));
    await cli.run('publish', 'files');
    write(withTimeout(900));
    const res = await cli.run('publish', 'files', '--base', '0');
    expect(res.code).to.equal(4);
    expect(res.err).to.contain('nyota/service/lamps');
  });

  const invalidSets: {name: string; content: string; message: string}[] = [
    {name: 'malformed JSON', content: '{', message: 'malformed-json'},
    {name: 'an unknown field', content: '{"rutes": []}', message: '"routes"'},
    {name: 'an empty set', content: '{}', message: 'empty-set'},
    {
      name: 'a dangling reference',
      content: JSON.stringify({routes: FILES.routes}),
      message: 'dangling-reference',
    },
  ];
  for (const {name, content, message} of invalidSets) {
    for (const command of ['validate', 'plan', 'publish']) {
      it(`${command} refuses ${name}`, async () => {
        cli.files.set('files/a.json', content);
        const res = await cli.run(command, 'files');
        expect(res.code).to.equal(1);
        expect(res.err).to.contain('files/a.json:1:');
        expect(res.err).to.contain(message);
        expect(log.records).to.deep.equal([]);
      });
    }
  }

  it('publishes a set larger than one record as one version', async () => {
    const [route] = FILES.routes;
    const routes = Array.from({length: 1500}, (unused, i) => ({
      ...route,
      name: `route-${i}`,
      match: {pathPrefix: `/${'p'.repeat(300)}/${i}`},
    }));
    write({...FILES, routes});
    expect((await cli.run('publish', 'files')).code).to.equal(0);
    expect(log.records.length).to.be.greaterThan(1);
    const {out} = await cli.run('history', '--json');
    const [entry] = JSON.parse(out) as {offset: number; keys: string[]}[];
    expect(entry?.offset).to.equal(log.records.length - 1);
    expect(entry?.keys).to.have.length(1503);
  });

  it('validates without a log service', async () => {
    cli.env = {};
    const res = await cli.run('validate', 'files', '--team', 'nyota');
    expect(res).to.deep.include({code: 0, out: 'files is valid: 4 resources.'});
  });

  const missing: {argv: string[]; code: number}[] = [
    {argv: ['publish', 'files', '--base', '5'], code: 8},
    {argv: ['rollback', '5'], code: 8},
    {argv: ['show', '5'], code: 8},
    {argv: ['show', 'nyota/route/none'], code: 8},
    {argv: ['publish', 'none'], code: 1},
  ];
  for (const {argv, code} of missing) {
    it(`exits with ${code} on ${argv.join(' ')}`, async () => {
      expect((await cli.run(...argv)).code).to.equal(code);
      expect(log.records).to.deep.equal([]);
    });
  }

  it('starts from a snapshot if the first records have expired', async () => {
    await cli.run('publish', 'files');
    write(withTimeout(800));
    await cli.run('publish', 'files');
    log.snapshotAndTrim();
    write(withTimeout(900));
    expect((await cli.run('publish', 'files')).code).to.equal(0);
    const {out} = await cli.run('history', '--json');
    expect(JSON.parse(out)).to.have.length(1);
    expect((await cli.run('rollback', '0')).code).to.equal(8);
    expect((await cli.run('rollback', '1')).code).to.equal(0);
  });

  it('fails if records have expired and there is no snapshot', async () => {
    log.earliest = 40;
    const res = await cli.run('history');
    expect(res.code).to.equal(3);
    expect(res.err).to.contain('The beginning of the log has expired');
  });

  describe('publish --wait', () => {
    it('shows progress until all nodes enforce the version', async () => {
      cli.admin.statuses = [
        fleetStatus(-1, {[-1]: 3}),
        fleetStatus(0, {[-1]: 2, 0: 1}, ['a-2', 'a-3']),
        fleetStatus(0, {0: 3}),
      ];
      expect(await cli.run('publish', 'files', '--wait')).toMatchSnapshot();
    });

    it('names nodes behind and unreachable nodes after the timeout', async () => {
      cli.admin.statuses = [fleetStatus(0, {[-1]: 1, 0: 2}, ['a-2'], ['b-1'])];
      const argv = ['publish', 'files', '--wait', '--timeout', '2'];
      const res = await cli.run(...argv);
      expect(res.code).to.equal(5);
      expect(res.err).to.contain('behind: a-2; unreachable: b-1');
    });

    it('publishes nothing when the fleet cannot be queried', async () => {
      cli.admin.failure = {exit: 'unauthorized', message: 'No.'};
      const res = await cli.run('publish', 'files', '--wait');
      expect(res.code).to.equal(7);
      expect(log.records).to.deep.equal([]);
    });
  });
});
