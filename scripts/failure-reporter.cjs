/* eslint-disable @typescript-eslint/no-require-imports -- Mocha loads reporters with require(). */

/**
 * Mocha reporter that also writes the full titles of failed tests to
 * `target/test-failures.json`.
 */

const {mkdirSync, writeFileSync} = require('node:fs');
const {dirname, join} = require('node:path');

const {reporters} = require('mocha');

const OUTPUT = join(__dirname, '../target/test-failures.json');

class FailureReporter extends reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    const titles = [];
    runner.on('fail', test => titles.push(test.fullTitle()));
    runner.once('end', () => {
      mkdirSync(dirname(OUTPUT), {recursive: true});
      writeFileSync(OUTPUT, JSON.stringify(titles));
    });
  }
}

module.exports = FailureReporter;
