import {expect} from 'chai';

import {JsonDocument} from '../src/index.js';

describe('JsonDocument', () => {
  const TEXT = '{\n  "name": "a",\n  "routes": [\n    {"path": "/x"}\n  ]\n}';

  const places: {path: (string | number)[]; line: number; column: number}[] = [
    {path: [], line: 1, column: 1},
    {path: ['name'], line: 2, column: 11},
    {path: ['routes', 0, 'path'], line: 4, column: 14},
    {path: ['routes', 0, 'missing'], line: 4, column: 5},
    {path: ['routes', 7], line: 3, column: 13},
  ];
  for (const {path, line, column} of places) {
    it(`returns the position of [${path.join(', ')}]`, () => {
      const document = JsonDocument.parse('f.json', TEXT).unwrap();
      const place = document.placeOf(path);
      expect(place).to.deep.equal({file: 'f.json', line, column});
    });
  }

  it('returns the position of a property name', () => {
    const document = JsonDocument.parse('f.json', TEXT).unwrap();
    const place = document.placeOfName(['routes', 0, 'path']);
    expect(place).to.include({line: 4, column: 6});
  });

  const invalid: {name: string; text: string; code: string; line: number}[] = [
    {name: 'an empty file', text: '', code: 'malformed-json', line: 1},
    {
      name: 'an unclosed object',
      text: '{\n"a": 1',
      code: 'malformed-json',
      line: 2,
    },
    {name: 'a comment', text: '{\n// no\n}', code: 'malformed-json', line: 2},
    {name: 'two values', text: '{}\n{}', code: 'malformed-json', line: 2},
    {
      name: 'a repeated property',
      text: '{"a": {\n"b": 1,\n"b": 2}}',
      code: 'repeated-property',
      line: 3,
    },
  ];
  for (const {name, text, code, line} of invalid) {
    it(`refuses ${name} and returns its position`, () => {
      const findings = JsonDocument.parse('f.json', text).unwrapErr();
      expect(findings[0]).to.deep.include({code});
      expect(findings[0]?.place).to.include({file: 'f.json', line});
    });
  }
});
