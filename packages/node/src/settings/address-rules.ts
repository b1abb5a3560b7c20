/** Rules about addresses: IP numbers only, and no port used twice. */

import {isIP} from 'node:net';

import type {Finding, JsonDocument, JsonPath} from '@turmericmill/utils';

import {itemsAt, numberAt, textAt} from './value-at.js';

const LISTENERS = ['mesh', 'calls', 'announce', 'admin'] as const;
const MAX_PORT = 65535;

/** True for `IP:port` with a port above 0; IPv6 stands in brackets. */
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
  const written = text.slice('http://'.length);
  return written.startsWith(url.host) && isIpNumber(url.hostname);
}

function isIpNumber(hostname: string): boolean {
  return isIP(hostname.replace(/^\[|\]$/g, '')) !== 0;
}

/** Finds host names where IP numbers are wanted, and ports used twice. */
export function findAddressFaults(document: JsonDocument): Finding[] {
  return [
    ...findListenerFaults(document),
    ...findSharedPorts(document),
    ...findItemFaults(document, ['seeds'], isIpAndPort, 'IP:PORT'),
    ...findItemFaults(document, ['log', 'urls'], isIpUrl, 'http://IP:PORT'),
  ];
}

function findListenerFaults(document: JsonDocument): Finding[] {
  return [...LISTENERS, 'metrics'].flatMap(name => {
    const path = [name, 'address'];
    const address = textAt(document, path);
    if (address === undefined || isIP(address) !== 0) return [];
    return [notAnIpNumber(document, path, address, 'an IP number')];
  });
}

function findItemFaults(
  document: JsonDocument,
  path: JsonPath,
  isValid: (text: string) => boolean,
  form: string,
): Finding[] {
  return itemsAt(document, path).flatMap((item, index) => {
    if (typeof item !== 'string' || isValid(item)) return [];
    return [notAnIpNumber(document, [...path, index], item, form)];
  });
}

function notAnIpNumber(
  document: JsonDocument,
  path: JsonPath,
  text: string,
  form: string,
): Finding {
  return {
    code: 'not-an-ip-number',
    message: `"${path.join('.')}" has to be ${form}, not "${text}".`,
    place: document.placeOf(path),
  };
}

function findSharedPorts(document: JsonDocument): Finding[] {
  const users = new Map<string, string>();
  const findings: Finding[] = [];
  for (const name of LISTENERS) {
    const port = numberAt(document, [name, 'port']);
    if (port === undefined || port === 0) continue;
    const endpoint = `${textAt(document, [name, 'address']) ?? ''} ${port}`;
    const user = users.get(endpoint);
    if (user === undefined) {
      users.set(endpoint, name);
    } else {
      findings.push({
        code: 'repeated-port',
        message: `"${name}" has the address and port of "${user}".`,
        place: document.placeOf([name, 'port']),
      });
    }
  }
  return findings;
}
