import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';

import {expect} from 'chai';

import {EXITS} from '@turmericmill/cli';

const ROOT = new URL('../../../../../', import.meta.url);
const require = createRequire(import.meta.url);

interface Schema {
  properties?: Record<string, Schema>;
}

function page(name: string): string {
  return readFileSync(new URL(`docs/${name}`, ROOT), 'utf8');
}

function leavesOf(schema: Schema, prefix = ''): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, value]) => {
    if (value.properties) return leavesOf(value, `${name}.`);
    return [`${prefix}${name}`];
  });
}

describe('reference pages', () => {
  it('name every setting of a node', () => {
    const path = `${ROOT.pathname}packages/node/src/settings/`;
    const schema = require(`${path}node-settings.schema.json`) as Schema;
    const text = page('OPERATING.md');
    const missing = leavesOf(schema).filter(key => {
      const last = key.slice(key.indexOf('.'));
      return !text.includes(`\`${key}`) && !text.includes(`\`${last}\``);
    });
    expect(missing).to.deep.equal([]);
  });

  it('name every exit code', () => {
    const text = page('OPERATING.md');
    for (const {code} of Object.values(EXITS)) {
      expect(text).to.match(new RegExp(`^\\| ${code} +\\|`, 'm'));
    }
  });

  it('name every body of the administration API', () => {
    const path = `${ROOT.pathname}packages/node/src/admin/`;
    const schema = require(`${path}admin-api.schema.json`) as {
      definitions: Record<string, object>;
    };
    const text = page('PROTOCOLS.md');
    const bodies = ['health', 'readiness', 'version', 'status', 'drainAnswer'];
    for (const name of bodies) {
      expect(schema.definitions).to.have.property(name);
      expect(text).to.contain(`\`${name}\``);
    }
  });
});
