import { requestBytes } from '@auburnbay/http-utils/requestBytes'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { CacheLocation } from '../routing/createCacheLocations.js'
import type { Peer } from './createPeerTable.js'
import { statePath } from './createPeerStateServer.js'
import { decodePeerState } from './peerState.js'
import type { RouterState } from './routerState.js'

/** Milliseconds until a peer's answer is due. */
const ANSWER_TIMEOUT_MS = 800
/** Milliseconds between two askings. */
const PAUSE_MS = 100

/** What a borrower works with. */
export interface StateBorrowerOptions {
  readonly knowledge: RouterState
  readonly onPlacements: (placements: readonly CacheLocation[]) => void
  readonly log: DecisionLog
  /** Steady clock, in milliseconds. */
  readonly now: () => number
}

/** Takes configuration and targets from peers that know newer ones. */
export interface StateBorrower {
  /** Looks at a peer that was just heard. */
  heard(peer: Peer): void
}

/** Returns how long ago a peer surely had all changes of the list of targets. */
function targetsAgeOf({ digest, heardAtMs }: Peer, nowMs: number): number {
  return (digest?.targetsAgeMs ?? Infinity) + nowMs - heardAtMs
}

/** Creates a borrower that asks one peer at a time. */
export function createStateBorrower(
  options: StateBorrowerOptions,
): StateBorrower {
  const { knowledge, onPlacements, log, now } = options
  let isAsking = false
  let hasAsked = false

  function hasNewer(peer: Peer): boolean {
    const { digest } = peer
    if (!digest) return false
    // A router that has just started learns where prompts are cached.
    if (!hasAsked) return true
    if (digest.configurationVersion > knowledge.configurationVersion())
      return true
    const ageMs = targetsAgeOf(peer, now())
    if (ageMs >= knowledge.targetsAgeMs()) return false
    if (digest.targetsFingerprint !== knowledge.targetsFingerprint())
      return true
    knowledge.confirmTargets(ageMs)
    return false
  }

  async function ask({ router, address }: Peer): Promise<void> {
    const { host, port } = address
    const path = statePath({
      knownVersion: knowledge.configurationVersion(),
      ...(hasAsked && { targetsFingerprint: knowledge.targetsFingerprint() }),
      wantsPlacements: !hasAsked,
    })
    const askedAtMs = now()
    const reply = await requestBytes({
      url: `http://${host}:${port}${path}`,
      method: 'GET',
      timeoutMs: ANSWER_TIMEOUT_MS,
    })
    const state = reply.isOk() ? decodePeerState(reply.value.body) : undefined
    if (!state) {
      log.write(LogEvent.PeerFailed, { router, reason: 'no state in time' })
      return
    }
    hasAsked = true
    const { configuration, placements, targets, targetsAgeMs } = state
    if (configuration) knowledge.applyConfiguration(configuration, router)
    if (placements) onPlacements(placements)
    const ageMs = (targetsAgeMs ?? Infinity) + now() - askedAtMs
    if (ageMs >= knowledge.targetsAgeMs()) return
    if (targets) knowledge.applyTargets(targets, ageMs)
  }

  return {
    heard(peer) {
      if (isAsking || !hasNewer(peer)) return
      isAsking = true
      void ask(peer).finally(() => {
        setTimeout(() => {
          isAsking = false
        }, PAUSE_MS).unref()
      })
    },
  }
}
