/** The announcement that a backend server sends to its node. */

import {
  Err,
  JsonDocument,
  SchemaCheck,
  type Finding,
  type Result,
} from '@turmericmill/utils';

/** State that a server announces; `gone` withdraws the server at once. */
export type AnnouncedState = 'starting' | 'ready' | 'draining' | 'gone';

/** Body of `POST /v1/announce`. */
export interface Announcement {
  name: string;
  /** Backend server group as `team/name`. */
  group: string;
  /** IP address at which the server accepts calls. */
  address: string;
  port: number;
  /** Maximum number of concurrent calls. */
  slots: number;
  /** Maximum number of connections. */
  connections: number;
  state: AnnouncedState;
  /**
   * Start time of the server in ms since the epoch. Any number that grows with
   * each start is valid.
   */
  incarnation: number;
}

/** Maximum size in bytes of the body of an announcement. */
export const MAX_ANNOUNCEMENT_BYTES = 4 * 1024;

const NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$';

const ANNOUNCEMENT_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['name', 'group', 'port', 'slots', 'state', 'incarnation'],
  properties: {
    name: {type: 'string', pattern: NAME_PATTERN},
    group: {
      type: 'string',
      pattern: '^[a-z0-9][a-z0-9-]{0,62}/[a-z0-9][a-z0-9-]{0,62}$',
    },
    address: {
      type: 'string',
      pattern: '^[0-9a-fA-F.:]{2,45}$',
      default: '127.0.0.1',
    },
    port: {type: 'integer', minimum: 1, maximum: 65535},
    slots: {type: 'integer', minimum: 1, maximum: 100000},
    connections: {
      type: 'integer',
      minimum: 1,
      maximum: 1000000,
      default: 100,
    },
    state: {enum: ['starting', 'ready', 'draining', 'gone']},
    incarnation: {
      type: 'integer',
      minimum: 1,
      maximum: Number.MAX_SAFE_INTEGER,
    },
  },
};

const check = new SchemaCheck<Announcement>(ANNOUNCEMENT_SCHEMA);

/** Parses the body of an announcement, or returns all findings. */
export function parseAnnouncement(
  text: string,
): Result<Announcement, Finding[]> {
  if (Buffer.byteLength(text) > MAX_ANNOUNCEMENT_BYTES) {
    const message = `More than ${MAX_ANNOUNCEMENT_BYTES} bytes.`;
    const place = {file: 'announcement', line: 1, column: 1};
    return Err([{code: 'too-large', message, place}]);
  }
  return JsonDocument.parse('announcement', text).andThen(document =>
    check.check(document),
  );
}
