/** Findings: problems of an input, with positions and suggestions. */

/** A position in a source file. Lines and columns count from 1. */
export interface Place {
  file: string;
  line: number;
  column: number;
}

/** One problem found in an input. */
export interface Finding {
  /** Stable identifier in kebab-case, such as `unknown-field`. */
  code: string;
  message: string;
  place: Place;
  /** The name that was probably intended. */
  suggestion?: string;
}

/** Formats a finding as `file:line:column code: message`. */
export function formatFinding(finding: Finding): string {
  const {file, line, column} = finding.place;
  const hint = finding.suggestion
    ? ` (did you mean "${finding.suggestion}"?)`
    : '';
  return `${file}:${line}:${column} ${finding.code}: ${finding.message}${hint}`;
}

/** Compares findings by file, line and column. */
export function compareFindings(a: Finding, b: Finding): number {
  return (
    a.place.file.localeCompare(b.place.file) ||
    a.place.line - b.place.line ||
    a.place.column - b.place.column
  );
}
