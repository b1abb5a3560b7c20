import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import {expect} from 'chai';

import {parseScenario, ScenarioRunner} from '../../src/index.js';

const DIRECTORY = fileURLToPath(
  new URL('../../../scenarios/', import.meta.url),
);
const SCENARIO_TIMEOUT_MS = 60_000;

describe('ScenarioRunner', () => {
  const files = readdirSync(DIRECTORY).filter(file =>
    file.endsWith('.scenario'),
  );
  for (const file of files) {
    it(file, async () => {
      const text = readFileSync(`${DIRECTORY}${file}`, 'utf8');
      const steps = parseScenario(file, text).unwrap();
      const options = {team: 'nyota', directory: DIRECTORY};
      const failures = await new ScenarioRunner(options).run(steps);
      expect(failures).to.deep.equal([]);
    }).timeout(SCENARIO_TIMEOUT_MS);
  }
});
