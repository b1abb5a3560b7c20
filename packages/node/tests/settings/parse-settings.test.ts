import {expect} from 'chai';

import {formatFinding} from '@turmericmill/utils';

import {parseSettings} from '../../src/settings/index.js';

const MINIMAL = {
  nodeId: 'nairobi-a-1',
  dataCentre: 'nairobi-a',
  region: 'nairobi',
  mesh: {address: '10.0.0.1', port: 7070},
  calls: {address: '10.0.0.1', port: 7071},
  admin: {address: '10.0.0.1', port: 7073, token: 'a-token-of-16-chars'},
  log: {urls: ['http://10.0.9.1:7080']},
};

function codesOf(settings: object, dataCentre?: string): string[] {
  const text = JSON.stringify(settings);
  const res = parseSettings('node.json', text, {dataCentre});
  return res.isOk() ? [] : res.error.map(finding => finding.code);
}

describe('parseSettings', () => {
  it('fills in defaults', () => {
    const text = JSON.stringify(MINIMAL);
    expect(parseSettings('node.json', text).unwrap()).toMatchSnapshot();
  });

  const valid: {name: string; change: object}[] = [
    {name: 'port 0 for all listeners on one address', change: zeroPorts()},
    {
      name: 'IPv6 addresses',
      change: {seeds: ['[::1]:7070'], log: logUrl('[::1]')},
    },
    {
      name: 'an expected data centre',
      change: {expectedDataCentres: ['nairobi-a']},
    },
  ];
  for (const {name, change} of valid) {
    it(`accepts ${name}`, () => {
      expect(codesOf({...MINIMAL, ...change}, 'nairobi-a')).to.deep.equal([]);
    });
  }

  const invalid: {name: string; change: object; codes: string[]}[] = [
    {
      name: 'a host name as listen address',
      change: {mesh: {address: 'mesh.local', port: 1}},
      codes: ['not-an-ip-number'],
    },
    {
      name: 'a host name as seed',
      change: {seeds: ['seed:7070']},
      codes: ['not-an-ip-number'],
    },
    {
      name: 'a seed without a port',
      change: {seeds: ['10.0.0.1']},
      codes: ['not-an-ip-number'],
    },
    {
      name: 'a log URL with a host name',
      change: {log: logUrl('log.local')},
      codes: ['not-an-ip-number'],
    },
    {
      name: 'a log URL with https',
      change: {log: {urls: ['https://10.0.0.1:1']}},
      codes: ['not-an-ip-number'],
    },
    {
      name: 'one port for two listeners',
      change: {calls: MINIMAL.mesh},
      codes: ['repeated-port'],
    },
    {
      name: 'a data centre outside the region',
      change: {region: 'ncr'},
      codes: ['wrong-region'],
    },
    {
      name: 'a data centre that is not expected',
      change: {expectedDataCentres: ['nairobi-b']},
      codes: ['unexpected-data-centre'],
    },
    {
      name: 'a short token',
      change: {admin: {...MINIMAL.admin, token: 'short'}},
      codes: ['invalid-value'],
    },
    {
      name: 'an unknown preference',
      change: {preference: 'speed'},
      codes: ['invalid-value'],
    },
    {
      name: 'a missing section',
      change: {log: undefined},
      codes: ['missing-field'],
    },
    {
      name: 'a section of the wrong type',
      change: {mesh: 7070},
      codes: ['invalid-value'],
    },
  ];
  for (const {name, change, codes} of invalid) {
    it(`refuses ${name}`, () => {
      expect(codesOf({...MINIMAL, ...change})).to.deep.equal(codes);
    });
  }

  it('refuses a data centre other than that of the host', () => {
    const codes = ['unexpected-data-centre'];
    expect(codesOf(MINIMAL, 'nairobi-b')).to.deep.equal(codes);
  });

  it('reports all findings together with their places', () => {
    const text = JSON.stringify(
      {...MINIMAL, prefrence: 'bytes', seeds: ['a:1'], limits: {maxCall: 1}},
      null,
      2,
    );
    const findings = parseSettings('node.json', text).unwrapErr();
    expect(findings.map(formatFinding)).toMatchSnapshot();
  });

  for (const text of ['', '{', '[]', 'null', '{"nodeId":"a","nodeId":"b"}']) {
    it(`refuses ${JSON.stringify(text)} without throwing`, () => {
      expect(parseSettings('node.json', text).isErr()).to.equal(true);
    });
  }
});

function logUrl(host: string): object {
  return {urls: [`http://${host}:7080`]};
}

function zeroPorts(): object {
  const listener = {address: '127.0.0.1', port: 0};
  return {mesh: listener, calls: listener, announce: listener};
}
