/** What a benchmark is: a command that measures and returns its figures. */

/** Options of the command line, such as `--nodes 50`, by name. */
export type BenchOptions = Record<string, string | undefined>;

/** A benchmark. Each file `NAME-bench.ts` here exports one as `bench`. */
export abstract class Bench {
  /** One line for the list of benchmarks. */
  abstract readonly summary: string;

  /** Measures and returns the figures as a JSON value. */
  abstract run(options: BenchOptions): Promise<object>;
}

/** The number given as option `name`, or `fallback`. */
export function numberOption(
  options: BenchOptions,
  name: string,
  fallback: number,
): number {
  const text = options[name];
  if (text === undefined) return fallback;
  const value = Number(text);
  if (!Number.isFinite(value)) throw new Error(`--${name} wants a number.`);
  return value;
}

/** The comma-separated numbers given as option `name`, or `fallback`. */
export function numbersOption(
  options: BenchOptions,
  name: string,
  fallback: number[],
): number[] {
  const text = options[name];
  if (text === undefined) return fallback;
  const values = text.split(',').map(Number);
  if (!values.every(Number.isFinite)) {
    throw new Error(`--${name} wants numbers.`);
  }
  return values;
}

/** Options that name files and don't change what is measured. */
const FILE_OPTIONS: readonly string[] = ['slopes', 'result'];

/** The command that gives the figures of benchmark `name` again. */
export function commandOf(name: string, options: BenchOptions): string {
  const start = globalThis.gc
    ? 'node --expose-gc packages/testkit/dist/src/bench/main.js'
    : 'npm run bench --';
  const given = Object.entries(options)
    .filter(([option]) => !FILE_OPTIONS.includes(option))
    .map(([option, value]) => ` --${option} ${value ?? ''}`);
  return `${start} ${name}${given.join('')}`;
}
