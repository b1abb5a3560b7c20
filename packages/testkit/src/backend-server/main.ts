/** Runs a backend server as a process; its argument holds options as JSON. */

import {BackendServer, type BackendServerOptions} from './backend-server.js';

const options = JSON.parse(process.argv[2] ?? '{}') as BackendServerOptions;
const server = new BackendServer(options);
await server.start();
process.stdout.write(`${JSON.stringify({ready: server.url})}\n`);
