import type { RouterSettings } from '../settings/settingsSchema.js'
import type { RetryBounds } from './createRetryBudget.js'

/** Returns the bounds on retries from the settings. */
export function retryBoundsOf({ bounds }: RouterSettings): RetryBounds {
  return {
    ratio: bounds.retryRatio,
    allowance: bounds.retryAllowance,
    windowS: bounds.retryWindowS,
  }
}
