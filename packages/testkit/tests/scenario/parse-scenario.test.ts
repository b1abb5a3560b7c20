import {expect} from 'chai';

import {parseScenario} from '../../src/index.js';

describe('parseScenario', () => {
  it('parses every kind of step', () => {
    const text = `
      # A comment.
      start node a-1 in nairobi-a
      start server s-1 of nyota/lamps beside a-1 slots 12 work 2ms
      start load 50 per second of GET /lamps/1, POST /alerts once
      stop load
      send 3 calls of POST /alerts keyed retried, GET /x poisoned
      kill node a-1   pause node a-1
      crash server s-1
      set server s-1 health always-healthy
      set log down true
      set log delayMs 2s
      trim log config before 3
      run "publish ./files --wait" expecting exit 0
      sleep 300ms
      wait for version 1 everywhere within 4s
      wait for 2 ready servers everywhere within 5s
      wait for 3 nodes everywhere within 5s
      expect answered at least 10
    `;
    expect(parseScenario('a.scenario', text).unwrap()).toMatchSnapshot();
  });

  const malformed: [string, number, number][] = [
    ['', 1, 1],
    ['sleep 3', 1, 8],
    ['sleep 1s\nstart node in nairobi', 2, 15],
    ['expect wonders is 0', 1, 8],
    ['send 3 calls of FETCH /', 1, 17],
  ];
  for (const [text, line, column] of malformed) {
    it(`reports the position of the syntax error in ${JSON.stringify(text)}`, () => {
      const [finding] = parseScenario('a.scenario', text).unwrapErr();
      const place = {file: 'a.scenario', line, column};
      expect(finding).to.deep.include({code: 'malformed-scenario', place});
    });
  }
});
