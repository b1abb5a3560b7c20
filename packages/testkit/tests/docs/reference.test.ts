import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';

import {expect} from 'chai';

import {EXITS} from '@turmericmill/cli';

const ROOT = new URL('../../../../../', import.meta.url);
const require = createRequire(import.meta.url);

interface Schema {
  properties?: Record<string, Schema>;
}

function readPage(name: string): string {
  return readFileSync(new URL(`docs/${name}`, ROOT), 'utf8');
}

function leafKeysOf(schema: Schema, prefix = ''): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, value]) => {
    if (value.properties) return leafKeysOf(value, `${name}.`);
    return [`${prefix}${name}`];
  });
}

/** String literals that source code logs at level info or above. */
function logMessagesOf(source: string): string[] {
  const calls = source.matchAll(
    /logger\.(?:info|warn|error)\([^;]*?'([^']+)',?\s*\);/g,
  );
  return [...calls].map(match => match[1] ?? '');
}

describe('reference pages', () => {
  it('name every setting of a node', () => {
    const path = `${ROOT.pathname}packages/node/src/settings/`;
    const schema = require(`${path}node-settings.schema.json`) as Schema;
    const text = readPage('OPERATING.md');
    const missing = leafKeysOf(schema).filter(key => {
      const last = key.slice(key.indexOf('.'));
      return !text.includes(`\`${key}`) && !text.includes(`\`${last}\``);
    });
    expect(missing).to.deep.equal([]);
  });

  const pages = readdirSync(new URL('docs/', ROOT), {recursive: true})
    .map(String)
    .filter(name => name.endsWith('.md'));
  for (const name of pages) {
    it(`${name} links to files that exist`, () => {
      const links = readPage(name).matchAll(/\]\(([^)#:]+)(?:#[^)]*)?\)/g);
      const base = new URL(`docs/${name}`, ROOT);
      const missing = [...links]
        .map(match => match[1] ?? '')
        .filter(link => !existsSync(new URL(link, base)));
      expect(missing).to.deep.equal([]);
    });
  }

  it('name every log line of a node', () => {
    const text = readPage('OPERATING.md');
    const folder = new URL('packages/node/src/', ROOT);
    const missing = readdirSync(folder, {recursive: true})
      .map(String)
      .filter(file => file.endsWith('.ts'))
      .flatMap(file =>
        logMessagesOf(readFileSync(new URL(file, folder), 'utf8')),
      )
      .filter(line => !text.includes(`\`${line}\``));
    expect(missing).to.deep.equal([]);
  });

  it('name every exit code', () => {
    const text = readPage('OPERATING.md');
    for (const {code} of Object.values(EXITS)) {
      expect(text).to.match(new RegExp(`^\\| ${code} +\\|`, 'm'));
    }
  });

  it('name every body of the administration API', () => {
    const path = `${ROOT.pathname}packages/node/src/admin/`;
    const schema = require(`${path}admin-api.schema.json`) as {
      definitions: Record<string, object>;
    };
    const text = readPage('PROTOCOLS.md');
    const bodies = ['health', 'readiness', 'version', 'status', 'drainAnswer'];
    for (const name of bodies) {
      expect(schema.definitions).to.have.property(name);
      expect(text).to.contain(`\`${name}\``);
    }
  });
});
