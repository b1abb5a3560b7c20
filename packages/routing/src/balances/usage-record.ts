/** Records of the `usage` stream. */

/** Number of calls by customer. */
export type CallCounts = Record<string, number>;

/**
 * Cumulative counts of one incarnation of a node. `incarnation` is the time in
 * ms at which the counting started, so that very old rows can be recognized.
 */
export interface UsageRow {
  nodeId: string;
  incarnation: number;
  calls: CallCounts;
}

/** Rows to merge; the highest count of each customer applies. */
export interface UsageRecord {
  type: 'usage';
  /** Time in ms by the writer's clock. */
  atMs: number;
  rows: UsageRow[];
}

/** Nodes that have left: their counts are final and are added to the sums. */
export interface CloseRecord {
  type: 'close';
  atMs: number;
  nodes: {nodeId: string; incarnation: number}[];
}

/** A closed incarnation, retained until `untilMs`. */
export interface ClosedNode {
  nodeId: string;
  incarnation: number;
  untilMs: number;
}

/** One part of the folded state of all records before `through`. */
export interface CheckpointRecord {
  type: 'checkpoint';
  atMs: number;
  /** Unique for each checkpoint; parts of different ids are never combined. */
  id: string;
  part: number;
  parts: number;
  /** Offset of the first record that is not included. */
  through: number;
  base: CallCounts;
  rows: UsageRow[];
  closed: ClosedNode[];
}

export type UsageLogRecord = UsageRecord | CloseRecord | CheckpointRecord;

/** Decodes a record's body; undefined if it is not a valid usage record. */
export function decodeUsage(body: string): UsageLogRecord | undefined {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const record = value as Partial<UsageLogRecord>;
  if (!isCount(record.atMs)) return undefined;
  switch (record.type) {
    case 'usage':
      return isListOf(record.rows, isRow) ? (record as UsageRecord) : undefined;
    case 'close':
      return isListOf(record.nodes, isNode)
        ? (record as CloseRecord)
        : undefined;
    case 'checkpoint':
      return isCheckpoint(record) ? record : undefined;
    default:
      return undefined;
  }
}

function isCheckpoint(
  record: Partial<CheckpointRecord>,
): record is CheckpointRecord {
  const {id, part, parts, through, base, rows, closed} = record;
  if (typeof id !== 'string') return false;
  if (![part, parts, through].every(isCount)) return false;
  return isCounts(base) && isListOf(rows, isRow) && isListOf(closed, isClosed);
}

function isListOf(value: unknown, test: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(test);
}

function isRow(value: unknown): boolean {
  return isNode(value) && isCounts((value as Partial<UsageRow>).calls);
}

function isClosed(value: unknown): boolean {
  return isNode(value) && isCount((value as Partial<ClosedNode>).untilMs);
}

function isNode(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const {nodeId, incarnation} = value as Partial<UsageRow>;
  return typeof nodeId === 'string' && isCount(incarnation);
}

function isCounts(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  return Object.values(value).every(isCount);
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
