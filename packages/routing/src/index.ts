/** Route match, balancing, admission, retries, at-most-once, quarantine. */
export {
  Balancer,
  candidateKey,
  readyCandidates,
  type CallOutcome,
  type CallResult,
  type Candidate,
} from './balancing/balancer.js';
export {RoundRobinBalancer} from './balancing/round-robin.js';
export {groupKey, type MatchedRoute} from './routes/matched-route.js';
export {
  RoutingTable,
  type MatchHeaders,
  type MatchRequest,
} from './routes/routing-table.js';
