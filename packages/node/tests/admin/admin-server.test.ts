import {connect} from 'node:net';

import {expect} from 'chai';
import {request} from 'undici';

import {JsonDocument} from '@turmericmill/utils';

import {
  createAdminSchemaCheck,
  AdminServer,
  MAX_ADMIN_BODY_BYTES,
  type AdminBodyName,
} from '../../src/admin/index.js';
import {FakeNodeView} from './fake-node-view.js';

const TOKEN = 'a-token-of-16-chars';

interface TestRequest {
  method?: 'GET' | 'POST' | 'DELETE';
  path: string;
  token?: string | null;
  body?: string;
  contentType?: string;
}

describe('AdminServer', () => {
  let view: FakeNodeView;
  let server: AdminServer;
  let origin: string;
  let port: number;

  beforeEach(async () => {
    view = new FakeNodeView();
    const settings = {address: '127.0.0.1', port: 0, token: TOKEN};
    server = new AdminServer(settings, view);
    ({port} = await server.start());
    origin = `http://127.0.0.1:${port}`;
  });

  afterEach(() => server.close());

  async function send(sent: TestRequest) {
    const token = sent.token === undefined ? TOKEN : sent.token;
    const res = await request(`${origin}${sent.path}`, {
      method: sent.method ?? 'GET',
      headers: {
        connection: 'close',
        'content-type': sent.contentType ?? 'application/json',
        ...(token === null ? {} : {authorization: `Bearer ${token}`}),
      },
      body: sent.body ?? null,
    });
    return {
      status: res.statusCode,
      headers: res.headers,
      text: await res.body.text(),
    };
  }

  function expectBody(name: AdminBodyName, text: string): void {
    const document = JsonDocument.parse('answer', text).unwrap();
    const checked = createAdminSchemaCheck(name).check(document);
    expect(checked.isOk() ? [] : checked.error).to.deep.equal([]);
  }

  const drain = {method: 'POST', path: '/v1/drain'} as const;
  const valid: (TestRequest & {name: string; schema: AdminBodyName})[] = [
    {name: 'health', path: '/v1/health', token: null, schema: 'health'},
    {name: 'readiness', path: '/v1/ready', token: null, schema: 'readiness'},
    {name: 'the version', path: '/v1/version', schema: 'version'},
    {name: 'the status', path: '/v1/status', schema: 'status'},
    {name: 'the servers', path: '/v1/servers?limit=5', schema: 'servers'},
    {
      name: 'the servers of a group',
      path: '/v1/servers?group=x/y',
      schema: 'servers',
    },
    {name: 'the calls', path: '/v1/calls', schema: 'calls'},
    {
      ...drain,
      name: 'the drain of a server',
      body: '{"node":"a-1","server":"s-1"}',
      schema: 'drainAnswer',
    },
    {
      name: 'the end of a drain',
      method: 'POST',
      path: '/v1/undrain',
      body: '{"node":"a-1"}',
      schema: 'drainAnswer',
    },
  ];
  for (const {name, schema, ...sent} of valid) {
    it(`answers ${name}`, async () => {
      const res = await send(sent);
      expect(res.status).to.equal(200);
      expectBody(schema, res.text);
      expect(JSON.parse(res.text) as object).toMatchSnapshot();
    });
  }

  const oversizedBody = `"${'x'.repeat(MAX_ADMIN_BODY_BYTES)}"`;
  const drainBody = '{"node":"a-1"}';
  const invalid: (TestRequest & {
    name: string;
    status: number;
    code: string;
  })[] = [
    ...['/v1/version', '/v1/status', '/v1/servers', '/v1/calls', '/none'].map(
      path => ({
        name: `${path} without token`,
        path,
        token: null,
        status: 401,
        code: 'unauthorized',
      }),
    ),
    {
      ...drain,
      name: 'a drain with a wrong token',
      token: `${TOKEN}x`,
      body: drainBody,
      status: 401,
      code: 'unauthorized',
    },
    {
      name: 'an unknown endpoint',
      path: '/v2/x',
      status: 404,
      code: 'not-found',
    },
    {
      name: 'an unsupported method',
      path: '/v1/status',
      method: 'DELETE',
      status: 405,
      code: 'method-not-allowed',
    },
    {
      name: 'a limit of zero rows',
      path: '/v1/servers?limit=0',
      status: 400,
      code: 'bad-request',
    },
    {
      ...drain,
      name: 'a body of another content type',
      body: drainBody,
      contentType: 'text/plain',
      status: 415,
      code: 'not-json',
    },
    {
      ...drain,
      name: 'a body that is too large',
      body: oversizedBody,
      status: 413,
      code: 'body-too-large',
    },
    ...['', '{', '[]', '{"node":1}', '{"node":"a-1","force":true}'].map(
      body => ({
        ...drain,
        name: `the body ${JSON.stringify(body)}`,
        body,
        status: 400,
        code: 'invalid-body',
      }),
    ),
    {
      ...drain,
      name: 'a drain of another node',
      body: '{"node":"b-1"}',
      status: 421,
      code: 'not-this-node',
    },
    {
      ...drain,
      name: 'a drain of an unknown server',
      body: '{"node":"a-1","server":"s-9"}',
      status: 404,
      code: 'unknown-server',
    },
  ];
  for (const {name, status, code, ...sent} of invalid) {
    it(`refuses ${name}`, async () => {
      const res = await send(sent);
      expect(res.status).to.equal(status);
      expectBody('error', res.text);
      const body = JSON.parse(res.text) as {error: {code: string}};
      expect(body.error.code).to.equal(code);
      expect(view.drainRequests).to.deep.equal([]);
    });
  }

  it('answers 503 while the node is not ready', async () => {
    view.ready = false;
    const res = await send({path: '/v1/ready', token: null});
    expect(res.status).to.equal(503);
    expectBody('readiness', res.text);
  });

  it('does not expose the detail of an internal error', async () => {
    view.broken = true;
    const res = await send({path: '/v1/version'});
    expect(res.status).to.equal(500);
    expect(res.text).not.to.contain('secret');
  });

  const unparsed: {name: string; head: string; code: string}[] = [
    {
      name: 'a header that is too large',
      head: `GET / HTTP/1.1\r\nx: ${'x'.repeat(9000)}\r\n\r\n`,
      code: 'header-too-large',
    },
    {
      name: 'a malformed target',
      head: 'GET // HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
      code: 'bad-request',
    },
    {name: 'data that is not HTTP', head: 'HELLO\r\n\r\n', code: 'bad-request'},
  ];
  for (const {name, head, code} of unparsed) {
    it(`refuses ${name}`, async () => {
      const text = await exchange(port, head);
      expectBody('error', text.slice(text.indexOf('{')));
      expect(text).to.contain(code);
    });
  }
});

async function exchange(port: number, head: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  socket.write(head);
  let text = '';
  for await (const chunk of socket) text += String(chunk);
  return text;
}
