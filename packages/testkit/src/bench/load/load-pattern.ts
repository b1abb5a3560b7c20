/** Patterns of load at its worst: who calls, who serves, what goes wrong. */

/** Calls of one class. */
export interface LoadClass {
  name: string;
  /** 0 is the most urgent. */
  rank: number;
  /** Calls for each second in each data centre. */
  perSecond: number;
  /** Time in ms that a server of usual speed takes: mean, and its spread. */
  workMs: number;
  spread: number;
  /** Time in ms within which an answer has its full worth. */
  targetMs: number;
  /** Time in ms for which the caller waits in all. */
  patienceMs: number;
  /** Time in ms after which the route gives a request up. */
  timeoutMs: number;
  worth: number;
  lateWorth: number;
  answerBytes: number;
  repeatable: boolean;
}

/** A backend server. */
export interface LoadServer {
  dataCentre: string;
  /** 1 is the usual speed. */
  speed: number;
}

/** State of the world at a time; each field is a factor or a share. */
export interface Conditions {
  /** Factor on the calls of all classes. */
  load: number;
  /** Factor on the time that the first servers take. */
  slowness: number;
  /** Servers, the first ones, that `slowness` holds for. */
  slowServers: number;
  /** Share of calls that each server sheds after it was handed them. */
  shedShare: number;
}

export interface LoadPattern {
  name: string;
  summary: string;
  slots: number;
  servers: readonly LoadServer[];
  classes: readonly LoadClass[];
  /** Length in ms. */
  lengthMs: number;
  conditionsAt(nowMs: number): Partial<Conditions>;
}

export const DATA_CENTRES: readonly string[] = ['a', 'b', 'c'];

const READ: LoadClass = {
  name: 'read',
  rank: 2,
  perSecond: 117,
  workMs: 145,
  spread: 0.3,
  targetMs: 400,
  patienceMs: 1_500,
  timeoutMs: 800,
  worth: 1,
  lateWorth: 0.5,
  answerBytes: 5_000,
  repeatable: true,
};

const COMMAND: LoadClass = {
  name: 'command',
  rank: 1,
  perSecond: 46,
  workMs: 160,
  spread: 0.3,
  targetMs: 500,
  patienceMs: 2_000,
  timeoutMs: 1_000,
  worth: 2,
  lateWorth: 1,
  answerBytes: 1_500,
  repeatable: false,
};

const FILE: LoadClass = {
  name: 'file',
  rank: 2,
  perSecond: 20,
  workMs: 96,
  spread: 0.8,
  targetMs: 400,
  patienceMs: 1_500,
  timeoutMs: 1_500,
  worth: 1,
  lateWorth: 0.5,
  answerBytes: 90_000,
  repeatable: true,
};

/** Nine servers of unequal speed, four, three and two to a data centre. */
const CONTROL_SERVERS: readonly LoadServer[] = [
  {dataCentre: 'a', speed: 0.55},
  {dataCentre: 'a', speed: 1.2},
  {dataCentre: 'a', speed: 1.2},
  {dataCentre: 'a', speed: 1.2},
  {dataCentre: 'b', speed: 0.55},
  {dataCentre: 'b', speed: 1.2},
  {dataCentre: 'b', speed: 1.2},
  {dataCentre: 'c', speed: 0.55},
  {dataCentre: 'c', speed: 1.2},
];

const FILE_SERVERS: readonly LoadServer[] = DATA_CENTRES.map(dataCentre => ({
  dataCentre,
  speed: 1,
}));

const CONTROL = {
  slots: 12,
  servers: CONTROL_SERVERS,
  classes: [READ, COMMAND],
  lengthMs: 20_000,
};

function within(nowMs: number, fromMs: number, toMs: number): boolean {
  return nowMs >= fromMs && nowMs < toMs;
}

export const LOAD_PATTERNS: readonly LoadPattern[] = [
  {
    ...CONTROL,
    name: 'calm',
    summary: 'seven tenths of what the servers can do',
    conditionsAt: () => ({load: 0.95}),
  },
  {
    ...CONTROL,
    name: 'overload',
    summary: 'a third more than the servers can do, all the time',
    conditionsAt: () => ({load: 1.8}),
  },
  {
    ...CONTROL,
    name: 'burst',
    summary: 'twice the usual calls for three seconds',
    conditionsAt: nowMs => ({load: within(nowMs, 6_000, 9_000) ? 2 : 1}),
  },
  {
    ...CONTROL,
    name: 'slow',
    summary: 'a third of the servers five times as slow for six seconds',
    conditionsAt: nowMs =>
      within(nowMs, 6_000, 12_000) ? {slowness: 5, slowServers: 3} : {},
  },
  {
    ...CONTROL,
    name: 'shed',
    summary: 'all servers shed half of their calls for eight seconds',
    conditionsAt: nowMs =>
      within(nowMs, 6_000, 14_000) ? {shedShare: 0.5} : {},
  },
  {
    ...CONTROL,
    name: 'files',
    summary: 'large answers, one server in each data centre',
    servers: FILE_SERVERS,
    classes: [FILE],
    conditionsAt: nowMs => ({load: within(nowMs, 6_000, 12_000) ? 7 : 3}),
  },
];
