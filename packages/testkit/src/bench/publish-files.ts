/** Publishes a file set straight to the log, and waits until it is served. */

import {parseFileSet, type SourceFile} from '@turmericmill/config';
import {
  buildPublication,
  emptyConfigState,
  foldRecord,
} from '@turmericmill/distribution';
import {HttpLogClient} from '@turmericmill/platform';
import {formatFinding} from '@turmericmill/utils';
import {request} from 'undici';

const POLL_INTERVAL_MS = 20;
const SERVED_TIMEOUT_MS = 30_000;
