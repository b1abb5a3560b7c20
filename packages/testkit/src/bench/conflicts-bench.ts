/** Needless rejections of racing publications, by certification policy. */

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

/** A publication that is rejected so often is given up. */
const MAX_TRIES = 20;

const POLICIES: readonly CertificationPolicy[] = [
  new WholeSetPolicy(),
  new WriteSetPolicy(),
  new WriteAndReferencePolicy(),
];

interface Attempt {
  publication: Publication;
  appendAtMs: number;
  serial: number;
  tries: number;
}

interface Counts {
  publications: number;
  attempts: number;
  accepted: number;
  gaveUp: number;
  /** Rejected though nothing written or referred to had changed. */
  needless: number;
  /** Rejected because only something referred to had changed. */
  referenceOnly: number;
  /** Rejected because something written had changed. */
  writeConflicts: number;
  /** Rejected because the set would not be valid. */
  invalid: number;
  /** Accepted though something referred to had changed since the base. */
  skewsAdmitted: number;
}

/** Runs the same seeded changes under each policy. */
class ConflictsBench extends Bench {
  override readonly summary = 'Rejections of racing publications by policy';

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
            new Race(policy, {
              teams,
              publications,
              gapMs,
              windowMs,
              seed,
            }).run(),
          );
          return {burst, windowMs, policy: policy.name, ...sum(runs)};
        }),
      ),
    );
    const setup = {teams, publications, changesPerDay, seeds};
    return Promise.resolve({bench: 'conflicts', ...setup, rows});
  }
}

interface RaceOptions {
  teams: number;
  publications: number;
  /** Mean time between two publications. */
  gapMs: number;
  /** Longest time from reading the base to the append. */
  windowMs: number;
  seed: number;
}

/** One run under one policy. */
class Race {
  private state: ConfigState = emptyConfigState();
  private readonly changedAt = new Map<ResourceKey, number>();
  private readonly random: SeededRandom;
  private readonly queue: Attempt[] = [];
  private ids = 0;
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
    private readonly options: RaceOptions,
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
      this.plan(nowMs, serial, 1);
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

  /** Reads the base now; the append comes within the window. */
  private plan(nowMs: number, serial: number, tries: number): void {
    const {teams, windowMs} = this.options;
    const change = planChange(this.state.resources, teams, serial, this.random);
    const publication: Publication = {
      id: this.nextId(),
      author: 'bench',
      base: this.state.version,
      ...change,
    };
    const appendAtMs = nowMs + this.random.next() * windowMs;
    this.queue.push({publication, appendAtMs, serial, tries});
    this.queue.sort((a, b) => b.appendAtMs - a.appendAtMs);
  }

  private appendUntil(nowMs: number): void {
    for (;;) {
      const attempt = this.queue.at(-1);
      if (!attempt || attempt.appendAtMs > nowMs) return;
      this.queue.pop();
      this.try(attempt);
    }
  }

  private try({publication, appendAtMs, serial, tries}: Attempt): void {
    const {counts} = this;
    const {base, writes} = publication;
    counts.attempts++;
    const isChanged = (key: ResourceKey) =>
      (this.changedAt.get(key) ?? -1) > base;
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
    if (tries >= MAX_TRIES) counts.gaveUp++;
    else this.plan(appendAtMs, serial, tries + 1);
  }

  private append(
    publication: Publication,
  ): 'accepted' | 'conflict' | 'invalid' {
    const [body = ''] = buildPublication(publication).unwrap();
    const offset = this.state.nextOffset;
    const step = foldRecord(this.state, {offset, body}, this.policy);
    this.state = step.state;
    const {verdict} = step;
    if (verdict.status === 'accepted') {
      for (const {key} of verdict.writes) this.changedAt.set(key, offset);
      return 'accepted';
    }
    const isConflict =
      verdict.status === 'rejected' && verdict.reason === 'conflict';
    return isConflict ? 'conflict' : 'invalid';
  }

  private nextId(): string {
    return `p${this.ids++}`;
  }
}

function sum(runs: readonly Counts[]): Counts {
  const total = {...(runs[0] as Counts)};
  for (const run of runs.slice(1)) {
    for (const name of Object.keys(total) as (keyof Counts)[]) {
      total[name] += run[name];
    }
  }
  return total;
}

export const bench: Bench = new ConflictsBench();
