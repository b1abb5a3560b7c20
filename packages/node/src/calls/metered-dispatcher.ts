/** Refuses customers without balance, and counts the calls of all others. */

import type {MatchedRoute} from '@turmericmill/routing';

import type {UsageTask} from '../tasks/usage-task.js';
import {NO_LOAD, type CallFailure, type InitialBody} from './call-leg.js';
import type {CallerExchange} from './caller-exchange.js';
import type {AttemptEnd} from './attempt-end.js';
import {CallDispatcher, type CallDemand} from './dispatcher.js';

export class MeteredDispatcher extends CallDispatcher {
  constructor(
    private readonly usage: UsageTask,
    private readonly inner: CallDispatcher,
  ) {
    super();
  }

  override async dispatch(
    exchange: CallerExchange,
    route: MatchedRoute,
    demand: CallDemand,
    body: InitialBody,
  ): Promise<AttemptEnd> {
    const {customer} = demand;
    if (!this.usage.allows(customer)) {
      return {kind: 'failed', failure: usedUp(customer)};
    }
    const end = await this.inner.dispatch(exchange, route, demand, body);
    if (end.kind === 'answered' || end.kind === 'cut') {
      this.usage.count(customer);
    }
    return end;
  }
}

function usedUp(customer: string): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'balance-used-up',
    detail: `The calls that customer ${customer} paid for are used up.`,
    load: {...NO_LOAD},
  };
}
