/** Size for which the system is designed, and the budget of a node. */

export const DESIGN_SIZE = {
  servers: 25_000,
  services: 1_100,
  callsPerSecond: 1_500_000,
  regions: 12,
  dataCentres: 27,
  changesPerDay: 40_000,
  convergenceMs: 4_000,
  hostFailuresPerDay: 74,
  restartsPerDay: 1_800,
  /** Number of hosts behind one rack switch. */
  rackHosts: 40,
} as const;

/** Limits of what a node may use for control. */
export const NODE_BUDGET = {
  cpuPercent: 4.8,
  memoryMiB: 256,
  bytesPerSecond: 3 * 1024,
} as const;

/** Appends per second that the log accepts, as a conservative estimate. */
export const LOG_APPENDS_PER_SECOND = 300;

const SECONDS_PER_DAY = 86_400;

/** Figures derived from the design size. */
export const DERIVED = {
  membersPerRegion: Math.round(DESIGN_SIZE.servers / DESIGN_SIZE.regions),
  hostsPerDataCentre: Math.round(DESIGN_SIZE.servers / DESIGN_SIZE.dataCentres),
  callsPerNode: DESIGN_SIZE.callsPerSecond / DESIGN_SIZE.servers,
  changesPerSecond: DESIGN_SIZE.changesPerDay / SECONDS_PER_DAY,
  /** Host failures and restarts per second in one region. */
  churnPerRegion:
    (DESIGN_SIZE.hostFailuresPerDay + DESIGN_SIZE.restartsPerDay) /
    DESIGN_SIZE.regions /
    SECONDS_PER_DAY,
} as const;
