/** The version of this program. */

import {createRequire} from 'node:module';

const PACKAGE = createRequire(import.meta.url)('../../package.json') as {
  version: string;
};

/** Version as in the package's manifest. */
export const VERSION = PACKAGE.version;
