import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import type { HarmfulTraits } from '../crashes/createHarmfulTraits.js'
import { isRequestTrait } from '../crashes/requestTrait.js'
import type { TargetSelector } from '../routing/targetSelector.js'
import type { Call } from './call.js'
import type { CallProgress } from './callProgress.js'
import { failures } from './failures.js'
import { spreadRetryAfterS } from './spreadRetryAfterS.js'

/** Options for {@link createNotRunExplainer}. */
export interface NotRunExplainerOptions {
  readonly harmfulTraits: HarmfulTraits
  readonly selector: TargetSelector
}

/** Returns why a call that did not run was sent to no further target; undefined if neither earlier crashes nor limits are the reason. */
export type NotRunExplainer = (
  call: Call,
  progress: CallProgress,
) => RequestFailure | undefined

/** Creates an explainer. */
export function createNotRunExplainer({
  harmfulTraits,
  selector,
}: NotRunExplainerOptions): NotRunExplainer {
  return (call, { harmfulTrait }) => {
    if (harmfulTrait) {
      const retryAfterS = harmfulTraits.remainingS(harmfulTrait)
      const failure = isRequestTrait(harmfulTrait.trait)
        ? failures.harmfulRequest
        : failures.harmfulPrompt
      return { ...failure, retryAfterS }
    }
    const waitMs = selector.waitMs(call)
    if (waitMs === 0) return undefined
    const retryAfterS = spreadRetryAfterS(call.request.attemptId, waitMs)
    return { ...failures.targetsLimited, retryAfterS }
  }
}
