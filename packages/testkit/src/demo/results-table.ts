/** The results table that the demonstration prints at its end. */

import {renderTable} from '@turmericmill/cli';

/** One row: a measured value and, for a check, its expected value. */
export interface TableRow {
  subject: string;
  actual: string;
  /** Empty for an informational row. */
  expected: string;
  passed: boolean;
}

/** Creates an informational row, which is not checked. */
export function createInfoRow(
  subject: string,
  actual: string | number,
): TableRow {
  return {subject, actual: String(actual), expected: '', passed: true};
}

/** Creates a row whose check fails the demonstration unless `passed`. */
export function createCheckRow(
  subject: string,
  actual: string | number,
  expected: string,
  passed: boolean,
): TableRow {
  return {subject, actual: String(actual), expected, passed};
}

/** Creates a check that a count equals `expected`. */
export function createCountCheck(
  subject: string,
  actual: number,
  expected: number,
): TableRow {
  return createCheckRow(subject, actual, String(expected), actual === expected);
}

export function renderResultsTable(rows: readonly TableRow[]): string {
  const cells = rows.map(({subject, actual, expected, passed}) => [
    subject,
    actual,
    expected,
    expected === '' ? '' : verdictOf(passed),
  ]);
  return renderTable(['', 'SEEN', 'WANTED', 'CHECK'], cells);
}

function verdictOf(passed: boolean): string {
  return passed ? 'holds' : 'FAILS';
}
