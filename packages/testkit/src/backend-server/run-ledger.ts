/** Which requests ran, how often, and how the runs ended. */

/** How a run ended. */
export type RunEnd = 'running' | 'answered' | 'cancelled' | 'expired' | 'cut';

/** One run of a request. */
export interface RunRecord {
  method: string;
  path: string;
  requestId: string;
  server: string;
  /** Time in ms since the epoch at which the run began. */
  atMs: number;
  end: RunEnd;
}

/** The runs of all incarnations of one or more servers. */
export class RunLedger {
  readonly runs: RunRecord[] = [];

  /** Notes that a run has begun. */
  begin(run: Omit<RunRecord, 'end'>): RunRecord {
    const record: RunRecord = {...run, end: 'running'};
    this.runs.push(record);
    return record;
  }

  /** Number of runs by request id. */
  countByRequest(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const {requestId} of this.runs) {
      counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    }
    return counts;
  }

  /** Number of runs that ended like this. */
  countEnded(end: RunEnd): number {
    return this.runs.filter(run => run.end === end).length;
  }
}
