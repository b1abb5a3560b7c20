/** Base class of benchmarks and helpers for their command-line options. */

/** Values of command-line options such as `--nodes 50`, by option name. */
export type BenchOptions = Record<string, string | undefined>;

/** A benchmark. Each file `NAME-bench.ts` in this folder exports one as `bench`. */
export abstract class Bench {
  /** One-line description for the list of benchmarks. */
  abstract readonly summary: string;

  /** Runs the measurement and returns the figures as a JSON value. */
  abstract run(options: BenchOptions): Promise<object>;
}

/** Returns the number given as option `name`, or `fallback` without it. */
export function numberOption(
  options: BenchOptions,
  name: string,
  fallback: number,
): number {
  const text = options[name];
  if (text === undefined) return fallback;
  const value = Number(text);
  if (!Number.isFinite(value)) throw new Error(`--${name} must be a number.`);
  return value;
}

/**
 * Returns the comma-separated numbers given as option `name`, or `fallback`
 * without it.
 */
export function numbersOption(
  options: BenchOptions,
  name: string,
  fallback: number[],
): number[] {
  const text = options[name];
  if (text === undefined) return fallback;
  const values = text.split(',').map(Number);
  if (!values.every(Number.isFinite)) {
    throw new Error(`--${name} must be a comma-separated list of numbers.`);
  }
  return values;
}

/** Options that name files and do not change the measurement. */
const FILE_OPTIONS: readonly string[] = ['slopes', 'result'];

/** Returns the command that repeats the measurement of benchmark `name`. */
export function commandOf(name: string, options: BenchOptions): string {
  const runner = globalThis.gc
    ? 'node --expose-gc packages/testkit/dist/src/bench/main.js'
    : 'npm run bench --';
  const args = Object.entries(options)
    .filter(([option]) => !FILE_OPTIONS.includes(option))
    .map(([option, value]) => ` --${option} ${value ?? ''}`);
  return `${runner} ${name}${args.join('')}`;
}
