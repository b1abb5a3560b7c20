import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import {expect} from 'chai';

import {createProcessContext, runCli} from '@turmericmill/cli';
import {parseSettings} from '@turmericmill/node';
import {formatFinding} from '@turmericmill/utils';

const EXAMPLES = fileURLToPath(
  new URL('../../../../../examples/', import.meta.url),
);

const DEPLOYMENTS = [
  {team: 'nyota', region: 'nairobi', groups: ['homeowner-api', 'fieldkit']},
  {team: 'kalayaan', region: 'ncr', groups: ['teller-desk', 'batch-vault']},
];
/** Number of nodes of each group, by index in `groups`. */
const NODE_COUNTS = {0: 9, 1: 3};

describe('examples', () => {
  for (const {team, region, groups} of DEPLOYMENTS) {
    it(`${team}: the file set is valid`, async () => {
      const out: string[] = [];
      const context = createProcessContext();
      context.env = {};
      context.writer = {out: add, err: add};
      const argv = ['validate', `${EXAMPLES}${team}/files`, '--team', team];
      const code = await runCli(argv, context);
      expect({code, out: out.slice(1)}).to.deep.equal({code: 0, out: []});

      function add(line: string): void {
        out.push(line);
      }
    });

    it(`${team}: the settings of each node are valid`, () => {
      const folder = `${EXAMPLES}${team}/nodes/`;
      const nodeIds = readdirSync(folder).map(file => {
        const text = readFileSync(`${folder}${file}`, 'utf8');
        const parsed = parseSettings(file, text);
        const findings = parsed.isErr() ? parsed.error : [];
        expect(findings.map(formatFinding)).to.deep.equal([]);
        const settings = parsed.unwrap();
        expect(settings.region).to.equal(region);
        expect(`${settings.nodeId}.json`).to.equal(file);
        return settings.nodeId;
      });
      const counts = groups.map(
        group => nodeIds.filter(id => id.startsWith(`${group}-`)).length,
      );
      expect({...counts}).to.deep.equal(NODE_COUNTS);
    });
  }
});
