/** Loads that the design does not support at its size, with remedies. */

import {DERIVED, DESIGN_SIZE, NODE_BUDGET} from './design-size.js';
import {formatFigure, type FigureCalculator} from './figures.js';
import {heartbeatBytes, viewMemory} from './node-cost.js';
import {
  CLAIM_KEYS,
  claimBytes,
  gatewayBytes,
  innerNodeBytes,
  MAX_CLAIM_KEYS,
  relayBytes,
  usageHeartbeats,
  usageRead,
  usageTotalsHeaders,
} from './role-figures.js';
import {seedAppends} from './roles.js';
import type {Slopes} from './slopes.js';

/** Time in ms after which a dead server must not receive new work. */
const DEAD_TARGET_MS = 3_000;

/** Number of servers of ten services of average size. */
const CALLED_SERVERS = 220;

/** Renders the limits as a Markdown list. */
export function limitsList(
  calculator: FigureCalculator,
  slopes: Slopes,
): string {
  return [
    massFailureLimit(slopes),
    heartbeatLimit(calculator),
    relayLimit(calculator),
    usageLimit(calculator),
    gatewayLimit(calculator),
    claimLimit(calculator),
    `- **Slots of other regions.** Summaries with the slots of ${DESIGN_SIZE.services} groups
  stay at the gateways; ordinary members get slots for up to 64 groups. What
  would carry it: a question to a gateway for the groups that a node calls, its
  answer kept until a deadline.`,
    `- **A cold start of the whole fleet without seeds in the settings.** Each node
  that knows nobody may append its address to the log within its first 20 s.
  Seeds in the settings, or an earlier stream, avoid it; ordinary appends are
  ${formatFigure(seedAppends(calculator))}.`,
    `- **The view of a region** is held whole by each node (${formatFigure(viewMemory(calculator))}). It
  would have to be split by group beyond some ten thousand members of a region.`,
    '- **Everything marked "not measured"** above is a design, not a claim.',
  ]
    .filter(item => item !== '')
    .join('\n');
}

/** List item if a mass failure was detected later than the target, or `''`. */
function massFailureLimit(slopes: Slopes): string {
  const worstMs = slopes['membership.worstHerdMs']?.value;
  if (worstMs === undefined || worstMs <= DEAD_TARGET_MS) return '';
  return `- **The death of a herd.** A third of a fleet that died at once was out of all
  views after ${worstMs} ms at worst, the target being ${DEAD_TARGET_MS} ms.`;
}

function heartbeatLimit(calculator: FigureCalculator): string {
  const perConnection = heartbeatBytes(calculator);
  const maxConnections = Math.floor(
    NODE_BUDGET.bytesPerSecond / (perConnection.value ?? 1),
  );
  const calledServers = calculator.exact(
    (perConnection.value ?? 0) * CALLED_SERVERS,
    'B/s',
  );
  return `- **Heartbeats of many idle connections.** An idle connection between two nodes
  is pinged after 10 s of silence; one with open calls after 300 ms. Idle, it
  costs each end at most ${formatFigure(perConnection)}: ${CALLED_SERVERS} connections, as for ten services of 22
  servers each, cost ${formatFigure(calledServers)}, and ${maxConnections} use up the whole budget. What would carry
  it: closing connections that were idle for some minutes.`;
}

function relayLimit(calculator: FigureCalculator): string {
  return `- **Relays with the preference \`convergence\`.** The busiest relay sends ${formatFigure(relayBytes(calculator))}
  beyond a leaf, an inner node of both trees ${formatFigure(innerNodeBytes(calculator))}. What would carry
  it: the preference \`bytes\`, whose figures of the same run are lower
  ([measurements/capacity.md](measurements/capacity.md)), or a smaller fan-out.`;
}

function usageLimit(calculator: FigureCalculator): string {
  return `- **Usage.** The collector of a region reads the rows of all ${DESIGN_SIZE.servers} nodes from
  the log (${formatFigure(usageRead(calculator))}), holds a connection to each of ${DERIVED.membersPerRegion} nodes
  (heartbeats of at most ${formatFigure(usageHeartbeats(calculator))}), and while any customer is near its limit sends the totals to each of them every 2 s:
  ${formatFigure(usageTotalsHeaders(calculator))} for the headers alone. What would carry it: rows that are
  summed for each region before they are appended, reports and totals that
  travel along the push tree.`;
}

function gatewayLimit(calculator: FigureCalculator): string {
  return `- **Summaries between regions.** The first gateway of a region sends ${formatFigure(gatewayBytes(calculator))}
  beside what each node sends. What would carry it: only the slots that have
  changed since the last summary, which the other gateway has acknowledged.`;
}

function claimLimit(calculator: FigureCalculator): string {
  const keys = CLAIM_KEYS.toLocaleString('en-GB');
  const maxKeys = MAX_CLAIM_KEYS.toLocaleString('en-GB');
  return `- **Claims at one keyed call in a hundred.** The writer of a partition appends
  ${formatFigure(claimBytes(calculator))}, reads as much again and would have to remember ${keys} keys,
  where it refuses new ones beyond ${maxKeys}. What would carry it: more
  partitions, a shorter window, and answers left out of the log.`;
}
