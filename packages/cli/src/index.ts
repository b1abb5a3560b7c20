/** The operators' command line, as a library. */
export * from './admin/admin-answers.js';
export {AdminClient, type ServerQuery} from './admin/admin-client.js';
export {HttpAdminClient} from './admin/http-admin-client.js';
export * from './cli-context.js';
export type {CliError} from './cli-error.js';
export {DiskFileReader} from './disk-file-reader.js';
export {EXITS, type ExitName} from './exit-code.js';
export {renderTable} from './output/table.js';
export {createProcessContext} from './process-context.js';
export {runCli} from './run-cli.js';
