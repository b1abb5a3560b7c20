/** Typed results: every fallible operation returns one instead of throwing. */
export {Err, Ok, type Result} from 'ts-results-es';
