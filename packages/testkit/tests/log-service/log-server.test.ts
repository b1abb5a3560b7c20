import {expect} from 'chai';
import {request} from 'undici';

import {HttpLogClient, MAX_RECORD_BYTES} from '@turmericmill/platform';

import {LogServer, NO_FAULTS, type LogFaults} from '../../src/index.js';

const PAGE = {limit: 10, waitMs: 0};

/** Contract of the log service, checked for stand-in and client together. */
describe('log service', () => {
  let server: LogServer;
  let url: string;
  let client: HttpLogClient;

  beforeEach(async () => {
    server = new LogServer();
    url = await server.start();
    client = new HttpLogClient({urls: [url]});
  });

  afterEach(async () => {
    await client.close();
    await server.stop();
  });

  function bodiesOf(stream: string): string[] {
    return server.log.read(stream, 0, 100).records.map(({body}) => body);
  }

  it('appends and reads in order', async () => {
    for (const body of ['"a"', '"b"', '"c"']) {
      await client.append('config', body);
    }
    const page = (await client.read('config', 1, PAGE)).unwrap();
    expect(page).toMatchSnapshot();
    const bounds = (await client.bounds('config')).unwrap();
    expect(bounds).to.deep.equal({earliest: 0, next: 3});
  });

  it('keeps streams separate', async () => {
    await client.append('config', '1');
    await client.append('claims-3', '2');
    expect(bodiesOf('claims-3')).to.deep.equal(['2']);
  });

  it('answers a long poll when a record arrives', async () => {
    const options = {limit: 10, waitMs: 10_000};
    const polled = client.read('config', 0, options);
    await client.append('config', '1');
    expect((await polled).unwrap().records).to.have.length(1);
  });

  it('answers a long poll with an empty page when its wait time ends', async () => {
    const options = {limit: 10, waitMs: 20};
    const page = (await client.read('config', 0, options)).unwrap();
    expect(page.records).to.deep.equal([]);
  });

  it('returns the bounds of a stream when the offset has been trimmed', async () => {
    for (const body of ['1', '2', '3']) await client.append('config', body);
    server.trim({stream: 'config', before: 2});
    const err = (await client.read('config', 0, PAGE)).unwrapErr();
    expect(err.code).to.equal('trimmed');
    expect(err.bounds).to.deep.equal({earliest: 2, next: 3});
    expect((await client.read('config', 2, PAGE)).isOk()).to.equal(true);
  });

  it('keeps only the newest records', async () => {
    server.setFaults({maxRecords: 2});
    for (const body of ['1', '2', '3']) await client.append('config', body);
    expect(server.log.bounds('config')).to.deep.equal({earliest: 1, next: 3});
  });

  const appendFaults: {
    name: string;
    faults: Partial<LogFaults>;
    code: string;
    kept: number;
  }[] = [
    {name: 'down', faults: {down: true}, code: 'unavailable', kept: 0},
    {
      name: 'losing the answer',
      faults: {loseAnswers: 1},
      code: 'outcome-unknown',
      kept: 1,
    },
    {
      name: 'losing the request',
      faults: {loseRequests: 1},
      code: 'outcome-unknown',
      kept: 0,
    },
    {
      name: 'over its append rate',
      faults: {maxAppendsPerSecond: 0},
      code: 'unavailable',
      kept: 0,
    },
  ];
  for (const {name, faults, code, kept} of appendFaults) {
    it(`fails an append while ${name}, and recovers`, async () => {
      server.setFaults(faults);
      const err = (await client.append('config', '1')).unwrapErr();
      expect(err.code).to.equal(code);
      expect(bodiesOf('config')).to.have.length(kept);
      server.setFaults(NO_FAULTS);
      expect((await client.append('config', '2')).unwrap()).to.equal(kept);
    });
  }

  it('refuses reads while down', async () => {
    server.setFaults({down: true});
    const err = (await client.read('config', 0, PAGE)).unwrapErr();
    expect(err.code).to.equal('unavailable');
  });

  it('sends a later answer before an earlier one', async () => {
    server.setFaults({crossAnswers: true});
    const order: string[] = [];
    const first = client.append('config', '1').then(() => order.push('first'));
    while (bodiesOf('config').length === 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    const second = client
      .append('config', '2')
      .then(() => order.push('second'));
    await Promise.all([first, second]);
    expect(order).to.deep.equal(['second', 'first']);
    expect(bodiesOf('config')).to.deep.equal(['1', '2']);
  });

  it('refuses a record that is too large', async () => {
    const res = await request(`${url}/streams/config/records`, {
      method: 'POST',
      body: 'x'.repeat(MAX_RECORD_BYTES + 1),
    });
    await res.body.dump();
    expect(res.statusCode).to.equal(413);
  });

  const malformed: [string, string, number][] = [
    ['GET', '/streams/config/records?from=x', 400],
    ['GET', '/streams/config/records?from=-1', 400],
    ['GET', '/streams/config/records?limit=0', 400],
    ['GET', '/streams/CONFIG', 404],
    ['GET', '/', 404],
    ['PUT', '/streams/config/records', 405],
    ['POST', '/control/faults', 400],
    ['POST', '/control/unknown', 400],
  ];
  for (const [method, path, status] of malformed) {
    it(`answers ${status} to ${method} ${path}`, async () => {
      const options = {method: method as 'GET', body: null};
      const res = await request(`${url}${path}`, options);
      await res.body.dump();
      expect(res.statusCode).to.equal(status);
    });
  }

  it('accepts control calls over HTTP while it is down', async () => {
    const post = async (path: string, body: object) => {
      const options = {method: 'POST' as const, body: JSON.stringify(body)};
      const res = await request(`${url}${path}`, options);
      await res.body.dump();
      return res.statusCode;
    };
    await client.append('config', '1');
    expect(await post('/control/faults', {down: true})).to.equal(200);
    expect(await post('/control/faults', {dwon: true})).to.equal(400);
    const trim = {stream: 'config', before: 1};
    expect(await post('/control/trim', trim)).to.equal(200);
    const res = await request(`${url}/control`);
    expect(await res.body.json()).to.deep.include({
      faults: {...NO_FAULTS, down: true},
    });
    expect(server.log.bounds('config').earliest).to.equal(1);
  });

  it('refuses calls without its token', async () => {
    const guarded = new LogServer({token: 'secret'});
    const urls = [await guarded.start()];
    const codes = [];
    for (const token of ['secret', 'guess']) {
      const other = new HttpLogClient({urls, token});
      const res = await other.append('config', '1');
      codes.push(res.isOk() ? 'ok' : res.error.code);
      await other.close();
    }
    await guarded.stop();
    expect(codes).to.deep.equal(['ok', 'refused']);
  });
});
