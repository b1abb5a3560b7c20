/** Typed results: every fallible operation returns one and does not throw. */
export {Err, Ok, type Result} from 'ts-results-es';
