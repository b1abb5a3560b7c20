import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import {expect} from 'chai';
import {format, resolveConfig} from 'prettier';

import {renderPage} from '../../src/capacity/page.js';
import {readSlopes} from '../../src/capacity/slopes.js';

const ROOT = new URL('../../../../../', import.meta.url);
const PAGE = fileURLToPath(new URL('docs/CAPACITY.md', ROOT));
const SLOPES = fileURLToPath(new URL('docs/measurements/slopes.json', ROOT));

describe('the committed capacity page', () => {
  it('equals the rendered page', async () => {
    const config = await resolveConfig(PAGE);
    const page = renderPage(readSlopes(SLOPES));
    const formatted = await format(page, {...config, filepath: PAGE});
    expect(readFileSync(PAGE, 'utf8')).to.equal(formatted);
  });
});
