/** Settings of a node: types, schema and validation. */
export type * from './node-settings.js';
export {isIpAndPort} from './address-rules.js';
export {parseSettings, type SettingsExpectation} from './parse-settings.js';
