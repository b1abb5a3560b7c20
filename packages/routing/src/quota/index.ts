/** Usage caps of tenants that hold for all hosts together. */
export {QuotaNode, type QuotaMessage} from './quota-node.js';
export {type QuotaHost} from './quota-owner.js';
export {
  quotaTerms,
  tenantDigest,
  windowBound,
  type QuotaBounds,
  type QuotaCap,
  type QuotaTerms,
  type QuotaTime,
} from './quota-terms.js';
export {
  returnRight,
  type QuotaOutcome,
  type QuotaWaiter,
  type RightLot,
} from './tenant-rights.js';
