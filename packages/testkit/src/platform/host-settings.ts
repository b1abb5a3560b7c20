/** Settings of hosts on loopback addresses, and their settings files. */

import type {HostAddress, HostSettings} from '@turmericmill/platform-adapter';

/** Ports of each host. */
export const PORTS = {
  callers: 8141,
  readiness: 8140,
  reports: 8146,
  server: 8147,
  mesh: 7660,
};

/** Returns the settings of a host at `ip` whose store is on this machine. */
export function createSettings(
  ip: string,
  storePort: number,
  changes: Partial<HostSettings> = {},
): HostSettings {
  const at = (port: number) => ({address: ip, port});
  return {
    nodeId: 'node-1',
    ip,
    dataCentre: 'a',
    region: 'r',
    isFirstStart: true,
    cpuShare: 1,
    memoryMb: 350,
    linkMbps: 1000,
    server: at(PORTS.server),
    service: 'desk',
    listen: {
      callers: at(PORTS.callers),
      readiness: at(PORTS.readiness),
      reports: at(PORTS.reports),
    },
    meshPorts: [PORTS.mesh, PORTS.mesh],
    store: {address: '127.0.0.1', port: storePort},
    heartbeatIntervalMs: 1500,
    shutdownGraceMs: 6000,
    drainMs: 2000,
    configInForceMs: 2000,
    retries: {share: 0.2, extra: 62, windowMs: 10_000},
    ...changes,
  };
}

/** Formats settings as `deploy/settings.json.template` does. */
export function formatSettings(settings: HostSettings): string {
  const {listen, retries, ...rest} = settings;
  return JSON.stringify({
    nodeId: rest.nodeId,
    ip: rest.ip,
    dataCentre: rest.dataCentre,
    region: rest.region,
    isFirstStart: rest.isFirstStart,
    cpuShare: rest.cpuShare,
    memoryMb: rest.memoryMb,
    linkMbps: rest.linkMbps,
    server: formatAddress(rest.server),
    service: rest.service,
    listen: {
      callers: formatAddress(listen.callers),
      readiness: formatAddress(listen.readiness),
      reports: formatAddress(listen.reports),
    },
    meshPorts: rest.meshPorts,
    store: formatAddress(rest.store),
    heartbeatInterval: `${rest.heartbeatIntervalMs}ms`,
    shutdownGrace: `${rest.shutdownGraceMs}ms`,
    drain: `${rest.drainMs}ms`,
    configInForce: `${rest.configInForceMs}ms`,
    retries: {
      share: retries.share,
      extra: retries.extra,
      window: `${retries.windowMs}ms`,
    },
  });
}

function formatAddress({address, port}: HostAddress): string {
  return `${address}:${port}`;
}
