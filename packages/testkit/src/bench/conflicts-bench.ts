/**
 * Measures how many concurrent publications each certification policy rejects
 * needlessly.
 */

import {referencesOf} from '@turmericmill/config';
import type {ResourceKey} from '@turmericmill/config';
import {
  buildPublication,
  emptyConfigState,
  foldRecord,
  WholeSetPolicy,
  WriteAndReferencePolicy,
  WriteSetPolicy,
} from '@turmericmill/distribution';
import type {
  CertificationPolicy,
  ConfigState,
  Publication,
} from '@turmericmill/distribution';
import {SeededRandom} from '@turmericmill/utils';

import {
  Bench,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';
import {initialResources, planChange} from './conflicts-workload.js';

const MS_PER_DAY = 86_400_000;

/** Number of attempts after which a rejected publication is abandoned. */
const MAX_ATTEMPTS = 20;

const POLICIES: readonly CertificationPolicy[] = [
  new WholeSetPolicy(),
  new WriteSetPolicy(),
  new WriteAndReferencePolicy(),
];

/** One attempt to append a publication. */
interface Attempt {
  publication: Publication;
  /** Simulated time in ms at which the publication is appended. */
  appendAtMs: number;
  /** Number of the publication; further attempts keep it. */
  serial: number;
  /** Number of this attempt, from 1. */
  attemptNumber: number;
}

/** Counts of publications and of attempts by their result. */
interface Counts {
  publications: number;
  attempts: number;
  accepted: number;
  /** Publications abandoned after the maximum number of attempts. */
  gaveUp: number;
  /** Rejected although nothing written or referred to had changed. */
  needless: number;
  /** Rejected because only something referred to had changed. */
  referenceOnly: number;
  /** Rejected because something written had changed. */
  writeConflicts: number;
  /** Rejected because the resource set would be invalid. */
  invalid: number;
  /** Accepted although something referred to had changed since the base. */
  skewsAdmitted: number;
}

/** Runs the workload with the same seeds under each policy. */
class ConflictsBench extends Bench {
  override readonly summary = 'Rejections of concurrent publications by policy';

  override run(options: BenchOptions): Promise<object> {
    const teams = numberOption(options, 'teams', 100);
    const publications = numberOption(options, 'publications', 4000);
    const changesPerDay = numberOption(options, 'changesPerDay', 40_000);
    const windows = numbersOption(options, 'windowsMs', [1000, 10_000, 60_000]);
    const seeds = numbersOption(options, 'seeds', [1, 2, 3]);
    const rows = [1, 10].flatMap(burst =>
      windows.flatMap(windowMs =>
        POLICIES.map(policy => {
          const gapMs = MS_PER_DAY / changesPerDay / burst;
          const runs = seeds.map(seed =>
            new Simulation(policy, {
              teams,
              publications,
              gapMs,
              windowMs,
              seed,
            }).run(),
          );
          return {burst, windowMs, policy: policy.name, ...sumCounts(runs)};
        }),
      ),
    );
    const setup = {teams, publications, changesPerDay, seeds};
    return Promise.resolve({bench: 'conflicts', ...setup, rows});
  }
}

interface SimulationOptions {
  teams: number;
  publications: number;
  /** Mean time in ms between two publications. */
  gapMs: number;
  /** Maximum time in ms from reading the base to the append. */
  windowMs: number;
  seed: number;
}

/** Simulates one run under one policy. */
class Simulation {
  private state: ConfigState = emptyConfigState();
  /** Version of the last change of each resource. */
  private readonly changedVersions = new Map<ResourceKey, number>();
  private readonly random: SeededRandom;
  /** Attempts that are not appended yet, the next one last. */
  private readonly queue: Attempt[] = [];
  private idCount = 0;
  private readonly counts: Counts = {
    publications: 0,
    attempts: 0,
    accepted: 0,
    gaveUp: 0,
    needless: 0,
    referenceOnly: 0,
    writeConflicts: 0,
    invalid: 0,
    skewsAdmitted: 0,
  };

  constructor(
    private readonly policy: CertificationPolicy,
    private readonly options: SimulationOptions,
  ) {
    this.random = new SeededRandom(options.seed);
  }

  run(): Counts {
    this.publishInitial();
    const {publications, gapMs} = this.options;
    let nowMs = 0;
    for (let serial = 0; serial < publications; serial++) {
      nowMs -= Math.log(1 - this.random.next()) * gapMs;
      this.appendUntil(nowMs);
      this.counts.publications++;
      this.schedule(nowMs, serial, 1);
    }
    this.appendUntil(Infinity);
    return this.counts;
  }

  private publishInitial(): void {
    for (const [team, resources] of initialResources(this.options.teams)) {
      const writes = resources.map(resource => ({key: resource.key, resource}));
      this.append({
        id: this.nextId(),
        team,
        author: 'bench',
        base: this.state.version,
        writes,
      });
    }
  }

  /**
   * Plans a change based on the current version and schedules its append within
   * the window.
   */
  private schedule(nowMs: number, serial: number, attemptNumber: number): void {
    const {teams, windowMs} = this.options;
    const change = planChange(this.state.resources, teams, serial, this.random);
    const publication: Publication = {
      id: this.nextId(),
      author: 'bench',
      base: this.state.version,
      ...change,
    };
    const appendAtMs = nowMs + this.random.next() * windowMs;
    this.queue.push({publication, appendAtMs, serial, attemptNumber});
    this.queue.sort((a, b) => b.appendAtMs - a.appendAtMs);
  }

  /** Runs the attempts that are due. */
  private appendUntil(nowMs: number): void {
    for (;;) {
      const attempt = this.queue.at(-1);
      if (!attempt || attempt.appendAtMs > nowMs) return;
      this.queue.pop();
      this.runAttempt(attempt);
    }
  }

  /**
   * Appends the publication and counts the result. Schedules another attempt if
   * the publication is rejected.
   */
  private runAttempt({
    publication,
    appendAtMs,
    serial,
    attemptNumber,
  }: Attempt): void {
    const {counts} = this;
    const {base, writes} = publication;
    counts.attempts++;
    const isChanged = (key: ResourceKey) =>
      (this.changedVersions.get(key) ?? -1) > base;
    const writeChanged = writes.some(write => isChanged(write.key));
    const referenceChanged = writes.some(
      ({resource}) => resource && referencesOf(resource).some(isChanged),
    );
    const verdict = this.append(publication);
    if (verdict === 'accepted') {
      counts.accepted++;
      if (referenceChanged) counts.skewsAdmitted++;
      return;
    }
    if (verdict === 'invalid') counts.invalid++;
    else if (writeChanged) counts.writeConflicts++;
    else if (referenceChanged) counts.referenceOnly++;
    else counts.needless++;
    if (attemptNumber >= MAX_ATTEMPTS) counts.gaveUp++;
    else this.schedule(appendAtMs, serial, attemptNumber + 1);
  }

  private append(
    publication: Publication,
  ): 'accepted' | 'conflict' | 'invalid' {
    const [body = ''] = buildPublication(publication).unwrap();
    const offset = this.state.nextOffset;
    const result = foldRecord(this.state, {offset, body}, this.policy);
    this.state = result.state;
    const {verdict} = result;
    if (verdict.status === 'accepted') {
      for (const {key} of verdict.writes) this.changedVersions.set(key, offset);
      return 'accepted';
    }
    const isConflict =
      verdict.status === 'rejected' && verdict.reason === 'conflict';
    return isConflict ? 'conflict' : 'invalid';
  }

  private nextId(): string {
    return `p${this.idCount++}`;
  }
}

function sumCounts(runs: readonly Counts[]): Counts {
  const total = {...(runs[0] as Counts)};
  for (const run of runs.slice(1)) {
    for (const name of Object.keys(total) as (keyof Counts)[]) {
      total[name] += run[name];
    }
  }
  return total;
}

export const bench: Bench = new ConflictsBench();
