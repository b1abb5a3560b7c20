/** The node on the platform's hosts. */
export {Sidecar} from './sidecar.js';
export {readSettingsFile, SettingsFile} from './settings-file.js';
