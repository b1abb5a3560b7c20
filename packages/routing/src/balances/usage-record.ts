/** Records of the `usage` stream. */

/** Calls by customer. */
export type CallCounts = Record<string, number>;

/**
 * Cumulative counts of one start of one node. `incarnation` is the time in ms
 * at which the counting started, so that very old ones can be told apart.
 */
export interface UsageRow {
  nodeId: string;
  incarnation: number;
  calls: CallCounts;
}

/** Rows to merge; for each customer the highest count holds. */
export interface UsageRecord {
  type: 'usage';
  /** Time in ms of the writer's clock. */
  atMs: number;
  rows: UsageRow[];
}

/** Nodes that are gone: their counts are final and summed up. */
export interface CloseRecord {
  type: 'close';
  atMs: number;
  nodes: {nodeId: string; incarnation: number}[];
}

/** An incarnation that is closed, remembered until a time in ms. */
export interface ClosedNode {
  nodeId: string;
  incarnation: number;
  untilMs: number;
}

/** One part of the state of the fold of all records before `through`. */
export interface CheckpointRecord {
  type: 'checkpoint';
  atMs: number;
  /** Unique for each checkpoint; parts of different ones never mix. */
  id: string;
  part: number;
  parts: number;
  /** Offset of the first record that is not contained. */
  through: number;
  base: CallCounts;
  rows: UsageRow[];
  closed: ClosedNode[];
}

export type UsageLogRecord = UsageRecord | CloseRecord | CheckpointRecord;

/** Decodes a record's body; undefined for anything else. */
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
