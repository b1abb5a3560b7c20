/** Validates addresses: only IP addresses, and no port for two listeners. */

import {isIP} from 'node:net';

import type {Finding, JsonDocument, JsonPath} from '@turmericmill/utils';

import {itemsAt, numberAt, stringAt} from './value-at.js';

const LISTENERS = ['mesh', 'calls', 'announce', 'admin'] as const;
const MAX_PORT = 65535;

/** True for `IP:port` with a port above 0; IPv6 addresses are in brackets. */
export function isIpAndPort(text: string): boolean {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  if (!match) return false;
  const [, ipv6, ipv4, port] = match;
  const family = ipv6 === undefined ? 4 : 6;
  const portNumber = Number(port);
  return (
    isIP(ipv6 ?? ipv4 ?? '') === family &&
    portNumber > 0 &&
    portNumber <= MAX_PORT
  );
}

function parseUrl(text: string): URL | undefined {
  return URL.canParse(text) ? new URL(text) : undefined;
}

function isIpUrl(text: string): boolean {
  const url = parseUrl(text);
  if (url?.protocol !== 'http:') return false;
  if (url.pathname !== '/' || url.search !== '' || url.username !== '') {
    return false;
  }
  const withoutScheme = text.slice('http://'.length);
  return withoutScheme.startsWith(url.host) && isIpAddress(url.hostname);
}

function isIpAddress(hostname: string): boolean {
  return isIP(hostname.replace(/^\[|\]$/g, '')) !== 0;
}

/** Finds addresses that are not IP addresses, and ports used twice. */
export function findAddressFaults(document: JsonDocument): Finding[] {
  return [
    ...findInvalidAddresses(document),
    ...findSharedPorts(document),
    ...findInvalidItems(document, ['seeds'], isIpAndPort, 'IP:PORT'),
    ...findInvalidItems(document, ['log', 'urls'], isIpUrl, 'http://IP:PORT'),
  ];
}

function findInvalidAddresses(document: JsonDocument): Finding[] {
  return [...LISTENERS, 'metrics'].flatMap(name => {
    const path = [name, 'address'];
    const address = stringAt(document, path);
    if (address === undefined || isIP(address) !== 0) return [];
    return [createAddressFinding(document, path, address, 'an IP number')];
  });
}

function findInvalidItems(
  document: JsonDocument,
  path: JsonPath,
  isValid: (text: string) => boolean,
  expectedForm: string,
): Finding[] {
  return itemsAt(document, path).flatMap((item, index) => {
    if (typeof item !== 'string' || isValid(item)) return [];
    return [
      createAddressFinding(document, [...path, index], item, expectedForm),
    ];
  });
}

function createAddressFinding(
  document: JsonDocument,
  path: JsonPath,
  text: string,
  expectedForm: string,
): Finding {
  return {
    code: 'not-an-ip-number',
    message: `"${path.join('.')}" has to be ${expectedForm}, not "${text}".`,
    place: document.placeOf(path),
  };
}

function findSharedPorts(document: JsonDocument): Finding[] {
  const listeners = new Map<string, string>();
  const findings: Finding[] = [];
  for (const name of LISTENERS) {
    const port = numberAt(document, [name, 'port']);
    if (port === undefined || port === 0) continue;
    const endpoint = `${stringAt(document, [name, 'address']) ?? ''} ${port}`;
    const listener = listeners.get(endpoint);
    if (listener === undefined) {
      listeners.set(endpoint, name);
    } else {
      findings.push({
        code: 'repeated-port',
        message: `"${name}" has the address and port of "${listener}".`,
        place: document.placeOf([name, 'port']),
      });
    }
  }
  return findings;
}
