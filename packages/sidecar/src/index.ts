/** Public interface of the sidecar, the node on one of the platform's hosts. */
export {LogDestination} from './observe/log-destination.js';
export {Sidecar} from './sidecar.js';
export {readSettingsFile, SettingsFile} from './settings-file.js';
export {ENDPOINT_SPREAD_MS} from './tasks/entry-restore.js';
