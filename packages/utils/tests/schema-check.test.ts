import {expect} from 'chai';

import {formatFinding, JsonDocument, SchemaCheck} from '../src/index.js';

const CHECK = new SchemaCheck<{name: string; weight: number}>({
  type: 'object',
  additionalProperties: false,
  required: ['name'],
  properties: {
    name: {type: 'string'},
    weight: {type: 'integer', minimum: 1, default: 1},
    kind: {enum: ['interactive', 'bulk']},
  },
});

describe('SchemaCheck', () => {
  it('adds defaults without changing the document', () => {
    const document = JsonDocument.parse('f.json', '{"name": "a"}').unwrap();
    const value = CHECK.check(document).unwrap();
    expect(value).to.deep.equal({name: 'a', weight: 1});
    expect(document.value).to.deep.equal({name: 'a'});
  });

  const invalid: {text: string; findings: RegExp[]}[] = [
    {text: '{}', findings: [/^f.json:1:1 missing-field/]},
    {
      text: '{"name": "a",\n"weigth": 2}',
      findings: [/^f.json:2:1 unknown-field: .*"weigth".*mean "weight"/],
    },
    {
      text: '{"name": "a",\n"zzzzzzzzzz": 2}',
      findings: [/^f.json:2:1 unknown-field: [^?]*$/],
    },
    {
      text: '{"name": 3,\n"weight": 0,\n"kind": "x"}',
      findings: [
        /^f.json:1:10 invalid-value: "name"/,
        /^f.json:2:11 invalid-value: "weight"/,
        /^f.json:3:9 invalid-value: "kind".*interactive, bulk/,
      ],
    },
  ];
  for (const {text, findings} of invalid) {
    it(`reports all findings of ${JSON.stringify(text)}`, () => {
      const document = JsonDocument.parse('f.json', text).unwrap();
      const lines = CHECK.check(document).unwrapErr().map(formatFinding);
      expect(lines).to.have.length(findings.length);
      findings.forEach((finding, i) => expect(lines[i]).to.match(finding));
    });
  }
});
