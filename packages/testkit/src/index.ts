/** Stand-ins, scenario language, benchmarks. */
export {};
