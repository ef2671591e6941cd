import { requestTrait } from '../crashes/requestTrait.js'
import type { Call } from './call.js'
import { requestFingerprint } from './requestFingerprint.js'
import { sharedPartIds } from './sharedPartIds.js'

/** Returns what a call has in common with other requests: its shared prompt parts and, the most specific, its fingerprint. */
export function requestTraits(call: Call): string[] {
  return [
    ...sharedPartIds(call.request.promptParts),
    requestTrait(requestFingerprint(call)),
  ]
}
