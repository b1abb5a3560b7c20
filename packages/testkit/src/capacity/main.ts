/** Writes docs/CAPACITY.md. Run `npm run capacity` in the workspace root. */

import {writeFileSync} from 'node:fs';

import {renderPage} from './page.js';
import {readSlopes} from './slopes.js';

const SLOPES_FILE = 'docs/measurements/slopes.json';
const PAGE_FILE = 'docs/CAPACITY.md';

writeFileSync(PAGE_FILE, renderPage(readSlopes(SLOPES_FILE)));
