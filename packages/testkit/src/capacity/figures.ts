/** Figures of the capacity page, each with where it comes from. */

import type {SlopeName, Slopes} from './slopes.js';

/** A figure; `value` is undefined while a slope it needs is not measured. */
export interface Figure {
  value: number | undefined;
  unit: string;
  /** Slopes that it was worked out from. */
  from: SlopeName[];
}

/** Works figures out from slopes, and remembers which. */
export class FigureBook {
  constructor(private readonly slopes: Slopes) {}

  /** A figure from slopes; undefined when one of them is missing. */
  from(
    names: SlopeName[],
    unit: string,
    work: (values: number[]) => number,
  ): Figure {
    const values = names.map(name => this.slopes[name]?.value);
    const known = values.every(value => value !== undefined);
    return {value: known ? work(values) : undefined, unit, from: names};
  }

  /** A figure that follows from sizes and encodings alone. */
  exact(value: number, unit: string): Figure {
    return {value, unit, from: []};
  }

  /** The sum of figures of one unit. */
  sum(figures: Figure[]): Figure {
    const [first] = figures;
    const values = figures.map(figure => figure.value);
    const known = values.every(value => value !== undefined);
    const value = known
      ? values.reduce((total, each) => total + each, 0)
      : undefined;
    const from = [...new Set(figures.flatMap(figure => figure.from))];
    return {value, unit: first?.unit ?? '', from};
  }
}

/** Renders a figure with three significant digits. */
export function show({value, unit}: Figure): string {
  if (value === undefined) return 'not measured';
  return `${formatNumber(value)} ${unit}`.trim();
}

/** Three significant digits, with thousands kept whole. */
export function formatNumber(value: number): string {
  const rounded = Number(value.toPrecision(3));
  return rounded.toLocaleString('en-GB', {maximumSignificantDigits: 3});
}
