/** Runs a publication against a log. */

import type {LogClient} from '@turmericmill/platform';
import type {Clock} from '@turmericmill/utils';

import type {PublishDecision, PublishOutcome} from './publish-decision.js';

/** Dependencies of a publisher. */
export interface PublishContext {
  log: LogClient;
  clock: Clock;
  /** Resolves after `ms`. */
  wait(ms: number): Promise<void>;
}

/** Carries out the actions of `decision` until it has an outcome. */
export async function publish(
  decision: PublishDecision,
  {log, clock, wait}: PublishContext,
): Promise<PublishOutcome> {
  for (;;) {
    const action = decision.next(clock.now());
    switch (action.type) {
      case 'done':
        return action.outcome;
      case 'wait':
        await wait(action.ms);
        break;
      case 'append':
        decision.onAppended(await log.append('config', action.body));
        break;
      case 'read': {
        const {from, limit, waitMs} = action;
        decision.onPage(await log.read('config', from, {limit, waitMs}));
      }
    }
  }
}
