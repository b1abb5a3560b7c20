/** The file set: schema, references, canonical form, digest, diff. */
export * from './resource.js';
