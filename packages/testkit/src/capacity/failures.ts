/** The failures of the design size, put through the measured slopes. */

import {DERIVED, DESIGN_SIZE} from './design-size.js';
import {show, type Figure, type FigureBook} from './figures.js';

const HERD_SECONDS = 10;

/** One row of the table of failures. */
export interface FailureRow {
  failure: string;
  rate: string;
  cost: string;
  verdict: string;
}

export function failureRows(book: FigureBook): FailureRow[] {
  return [
    hostDeath(book),
    restart(book),
    rackDeath(book),
    dataCentreDeath(book),
    dataCentreReturn(book),
    regionSplit(),
  ];
}

function hostDeath(book: FigureBook): FailureRow {
  const bytes = book.from(
    ['membership.bytesPerChange'],
    'B',
    ([each = 0]) =>
      // A suspicion and a death are two changes.
      each * 2,
  );
  const worst = book.from(['membership.worstDeathMs'], 'ms', ([ms = 0]) => ms);
  const each = DESIGN_SIZE.hostFailuresPerDay / DESIGN_SIZE.regions;
  return {
    failure: 'a host dies',
    rate: `${each.toFixed(1)} a day in a region`,
    cost: `${show(bytes)} sent by each node of the region`,
    verdict: `carried; out of all views after ${show(worst)} at worst in the fleets measured`,
  };
}

function restart(book: FigureBook): FailureRow {
  const view = book.from(
    ['membership.viewBytesPerMember'],
    'KB',
    ([bytes = 0]) => (bytes * DERIVED.membersPerRegion) / 1000,
  );
  const each = DESIGN_SIZE.restartsPerDay / DESIGN_SIZE.regions;
  return {
    failure: 'a node restarts',
    rate: `${Math.round(each)} a day in a region`,
    cost: `one view of ${show(view)} from one peer, four changes for all`,
    verdict: 'carried',
  };
}

function rackDeath(book: FigureBook): FailureRow {
  return {
    failure: `a rack or switch dies (${DESIGN_SIZE.rackHosts} hosts)`,
    rate: 'weekly',
    cost: herdCost(book, DESIGN_SIZE.rackHosts),
    verdict: `carried: news share datagrams; a third of a fleet that died at once was out of all views after ${show(herdTime(book))} at worst`,
  };
}

function dataCentreDeath(book: FigureBook): FailureRow {
  const {hostsPerDataCentre} = DERIVED;
  return {
    failure: `a data centre dies (${hostsPerDataCentre} hosts)`,
    rate: 'every other month',
    cost: herdCost(book, hostsPerDataCentre),
    verdict: `over 3 KB/s for about ${HERD_SECONDS} s, then within it; the time at this size is not measured`,
  };
}

function dataCentreReturn(book: FigureBook): FailureRow {
  const {hostsPerDataCentre, membersPerRegion} = DERIVED;
  const survivors = membersPerRegion - hostsPerDataCentre;
  const views = book.from(
    ['membership.viewBytesPerMember'],
    'KB',
    ([bytes = 0]) =>
      (bytes * membersPerRegion * hostsPerDataCentre) / survivors / 1000,
  );
  return {
    failure: 'a data centre returns at once',
    rate: 'every other month',
    cost: `${hostsPerDataCentre} views from ${survivors} survivors: ${show(views)} sent by each on average`,
    verdict:
      'bounded at 4 views/s for each node; the time at this size is extrapolated from 200 processes',
  };
}

function regionSplit(): FailureRow {
  return {
    failure: 'two regions lose each other for an hour',
    rate: 'now and then',
    cost: 'none; the summary of the other region ages',
    verdict: 'carried: members are known within a region only',
  };
}

function herdTime(book: FigureBook): Figure {
  return book.from(['membership.worstHerdMs'], 'ms', ([ms = 0]) => ms);
}

function herdCost(book: FigureBook, hosts: number): string {
  const bytes = book.from(
    ['membership.herdBytesPerDeath'],
    'KB',
    ([each = 0]) => (each * hosts) / 1000,
  );
  const cpu = book.from(
    ['membership.herdCpuMsPerDeath'],
    'ms',
    ([each = 0]) => each * hosts,
  );
  return `${show(bytes)} and ${show(cpu)} of processor time for each node`;
}
