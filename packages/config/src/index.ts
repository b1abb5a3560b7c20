/** File sets: schema, validation, references, digests and differences. */
export {isName, isWriteOf} from './check-resource.js';
export {applyWrites, diffResources} from './diff.js';
export {
  canonicalJson,
  digestAfter,
  digestOf,
  EMPTY_DIGEST,
  resourceDigest,
  sameResource,
  writesDigest,
} from './digest.js';
export {FILE_SECTIONS, type FileSection} from './file-schema.js';
export type * from './mesh-config.js';
export {parseFileSet} from './parse-file-set.js';
export {
  describeReferences,
  referencesOf,
  type Reference,
} from './references.js';
export {isRepeatable, isRequestKind} from './request-kind.js';
export * from './resource.js';
export {compareRoutes, matchBucket, shadows} from './route-match.js';
export {makeResource, type SourceFile} from './source-file.js';
