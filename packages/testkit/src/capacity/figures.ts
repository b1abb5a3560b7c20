/** Figures of the capacity page, each with the slopes it is derived from. */

import type {SlopeName, Slopes} from './slopes.js';

/** A figure; `value` is undefined if a slope that it needs is not measured. */
export interface Figure {
  value: number | undefined;
  unit: string;
  /** Slopes from which the figure is derived. */
  from: SlopeName[];
}

/** Derives figures from slopes and records which slopes each one uses. */
export class FigureCalculator {
  constructor(private readonly slopes: Slopes) {}

  /** Computes a figure from slopes; undefined if one of them is missing. */
  derive(
    names: SlopeName[],
    unit: string,
    compute: (values: number[]) => number,
  ): Figure {
    const values = names.map(name => this.slopes[name]?.value);
    const isMeasured = values.every(value => value !== undefined);
    return {value: isMeasured ? compute(values) : undefined, unit, from: names};
  }

  /** A figure that depends only on sizes and encodings, not on slopes. */
  exact(value: number, unit: string): Figure {
    return {value, unit, from: []};
  }

  /** The sum of figures with the same unit; undefined if one is undefined. */
  sum(figures: Figure[]): Figure {
    const [first] = figures;
    const values = figures.map(figure => figure.value);
    const isMeasured = values.every(value => value !== undefined);
    const value = isMeasured
      ? values.reduce((total, addend) => total + addend, 0)
      : undefined;
    const from = [...new Set(figures.flatMap(figure => figure.from))];
    return {value, unit: first?.unit ?? '', from};
  }
}

/** Formats a figure and its unit with three significant digits. */
export function formatFigure({value, unit}: Figure): string {
  if (value === undefined) return 'not measured';
  return `${formatNumber(value)} ${unit}`.trim();
}

/** Formats with three significant digits and thousands separators. */
export function formatNumber(value: number): string {
  const rounded = Number(value.toPrecision(3));
  return rounded.toLocaleString('en-GB', {maximumSignificantDigits: 3});
}
