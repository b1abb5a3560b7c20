/** The closing table of the demonstration, and the checks on it. */

import {renderTable} from '@turmericmill/cli';

/** One row: what was seen, and whether it holds. */
export interface TableRow {
  subject: string;
  seen: string;
  /** What has to hold; `''` for a row that is shown only. */
  wanted: string;
  holds: boolean;
}

/** A row that is shown only. */
export function figure(subject: string, seen: string | number): TableRow {
  return {subject, seen: String(seen), wanted: '', holds: true};
}

/** A row that has to hold. */
export function check(
  subject: string,
  seen: string | number,
  wanted: string,
  holds: boolean,
): TableRow {
  return {subject, seen: String(seen), wanted, holds};
}

/** A count that has to be exactly `wanted`. */
export function checkCount(
  subject: string,
  seen: number,
  wanted: number,
): TableRow {
  return check(subject, seen, String(wanted), seen === wanted);
}

/** Renders all rows. */
export function renderClosingTable(rows: readonly TableRow[]): string {
  const cells = rows.map(({subject, seen, wanted, holds}) => [
    subject,
    seen,
    wanted,
    wanted === '' ? '' : verdictOf(holds),
  ]);
  return renderTable(['', 'SEEN', 'WANTED', 'CHECK'], cells);
}

function verdictOf(holds: boolean): string {
  return holds ? 'holds' : 'FAILS';
}
