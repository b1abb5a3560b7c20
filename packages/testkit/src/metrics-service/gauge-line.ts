/** Parses lines of statsd datagrams. */

/** A received gauge. */
export interface Gauge {
  name: string;
  value: number;
  tags: Record<string, string>;
}

/** Parses `name:value|g|#tag:value,...`; undefined for other lines. */
export function parseGauge(line: string): Gauge | undefined {
  const match = /^([^:|]+):(-?[\d.]+)\|g(?:\|#(.*))?$/.exec(line);
  if (!match) return undefined;
  const [, name = '', value, tagText = ''] = match;
  const tags = tagText
    .split(',')
    .filter(tag => tag.includes(':'))
    .map(tag => {
      const colon = tag.indexOf(':');
      return [tag.slice(0, colon), tag.slice(colon + 1)] as const;
    });
  return {name, value: Number(value), tags: Object.fromEntries(tags)};
}
