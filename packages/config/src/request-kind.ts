/** Properties of the kinds of requests. */

import type {RequestKind} from './mesh-config.js';

const REPEATABLE: Readonly<Record<RequestKind, boolean>> = {
  safe: true,
  unsafe: false,
  download: true,
  upload: false,
};

/** True if a request of this kind may run more than once. */
export function isRepeatable(kind: RequestKind): boolean {
  return REPEATABLE[kind];
}

/** True if `text` names a kind of request. */
export function isRequestKind(text: string): text is RequestKind {
  return Object.hasOwn(REPEATABLE, text);
}
