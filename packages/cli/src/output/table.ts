/** Renders tables as plain text. */

import Table from 'cli-table3';

const NO_BORDERS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

/** Renders rows below a header row, without borders or colours. */
export function renderTable(
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const table = new Table({
    head: [...head],
    chars: NO_BORDERS,
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 0},
  });
  table.push(...rows.map(row => row.map(String)));
  const lines = table.toString().split('\n');
  return lines.map(line => line.trimEnd()).join('\n');
}
