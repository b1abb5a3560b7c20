/** The version of this program. */

import {createRequire} from 'node:module';

const PACKAGE = createRequire(import.meta.url)('../../package.json') as {
  version: string;
};

/** Version from the manifest of the package. */
export const VERSION = PACKAGE.version;
