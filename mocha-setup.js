import {use} from 'chai';
import {jestSnapshotPlugin} from 'mocha-chai-jest-snapshot';
import {beforeEach} from 'mocha';

/** Keeps snapshots beside the sources of the tests, not in `dist`. */
beforeEach(function () {
  const test = this.currentTest;
  if (test?.file) test.file = test.file.replace('/dist/tests/', '/tests/');
});

use(jestSnapshotPlugin());
