/** Publication, certification, versions, deltas, snapshots, push tree, anti-entropy. */
export {};
