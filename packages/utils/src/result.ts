/** Typed results, returned by fallible operations instead of throwing. */
export {Err, Ok, type Result} from 'ts-results-es';
