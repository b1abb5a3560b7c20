/** The calls that the demonstration sends. */

import {randomUUID} from 'node:crypto';

import type {CallOrder} from '../caller/caller.js';

const CUSTOMERS = ['porchlight-homes', 'installer-guild', 'field-service'];

const ORDERS: readonly CallOrder[] = [
  {method: 'GET', path: '/v1/lamps/17'},
  {method: 'GET', path: '/v1/lamps/18?detail=battery'},
  {method: 'GET', path: '/v1/schedules/17'},
  {method: 'PUT', path: '/v1/schedules/17', once: true},
  {method: 'POST', path: '/v1/alerts/17/arm', once: true},
  {method: 'GET', path: '/v1/manuals/porch-3'},
  {method: 'GET', path: '/v1/sensors/17'},
];

/**
 * Builds call number `call`. Orders and customers rotate; only calls that must
 * run at most once carry an idempotency key.
 */
export function buildDemoOrder(call: number): CallOrder {
  const order = ORDERS[call % ORDERS.length] as CallOrder;
  const customer = CUSTOMERS[
    Math.floor(call / ORDERS.length) % CUSTOMERS.length
  ] as string;
  if (!order.once) return {...order, customer};
  return {...order, customer, idempotencyKey: randomUUID()};
}
