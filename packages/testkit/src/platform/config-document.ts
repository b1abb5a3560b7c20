/** Configurations as the platform's operator publishes them. */

import {HEALTH_PATH} from './app-server.js';

const ROUTE_COLUMNS = [
  'name',
  'host',
  'path_prefix',
  'kind',
  'timeout',
  'target_latency',
  'priority',
  'service',
  'max_attempts',
  'traffic_split',
];

/** Host name of all routes. */
export const ROUTE_HOST = 'shop.example';

/**
 * Returns a configuration; `routes` has the service of each path prefix. The
 * services are those of the routes unless they are named. With tenants, routes
 * whose prefix begins with `open` are public.
 */
export function configDocument(
  version: number,
  routes: Readonly<Record<string, string>>,
  services: readonly string[] = [...new Set(Object.values(routes))],
  keysByTenant?: Readonly<Record<string, readonly string[]>>,
): string {
  const rows = Object.entries(routes).map(([prefix, service]) => [
    `r-${prefix}`,
    ROUTE_HOST,
    `/${prefix}/`,
    'safe',
    '800ms',
    '400ms',
    1,
    service,
    2,
    null,
    prefix.startsWith('open'),
  ]);
  const tenantRows = Object.entries(keysByTenant ?? {});
  return JSON.stringify({
    version: `r${version}`,
    routes: {columns: [...ROUTE_COLUMNS, 'public'], rows},
    services: {
      columns: ['name', 'health_check_path', 'max_connections'],
      rows: services.map(name => [name, HEALTH_PATH, 100]),
    },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 100_000,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
    },
    ...(keysByTenant && {
      tenants: {columns: ['name', 'api_keys'], rows: tenantRows},
    }),
  });
}
