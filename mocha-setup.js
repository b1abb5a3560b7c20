import {use} from 'chai';
import {jestSnapshotPlugin} from 'mocha-chai-jest-snapshot';
import {beforeEach} from 'mocha';

/** Stores snapshots next to the test sources instead of in `dist`. */
beforeEach(function () {
  const test = this.currentTest;
  if (test?.file) test.file = test.file.replace('/dist/tests/', '/tests/');
});

use(jestSnapshotPlugin());
