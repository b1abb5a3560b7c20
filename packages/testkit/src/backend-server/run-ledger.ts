/** Records the runs of requests and how they ended. */

/** How a run ended; `running` until then. */
export type RunEnd = 'running' | 'answered' | 'cancelled' | 'expired' | 'cut';

/** A run of a request. */
export interface RunRecord {
  method: string;
  path: string;
  requestId: string;
  server: string;
  /** Start of the run, in ms since the epoch. */
  atMs: number;
  end: RunEnd;
}

/** Runs of all incarnations of one or more servers. */
export class RunLedger {
  readonly runs: RunRecord[] = [];

  /** Records the start of a run. */
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

  /** Number of runs with this end. */
  countEnded(end: RunEnd): number {
    return this.runs.filter(run => run.end === end).length;
  }
}
