import { requestJson } from '@auburnbay/http-utils/requestJson'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { Peer } from './createPeerTable.js'
import { STATE_PATH } from './createPeerStateServer.js'
import { decodePeerState, type PeerState } from './peerState.js'

/** Milliseconds until a peer's answer is due. */
const ANSWER_TIMEOUT_MS = 1_000
/** Milliseconds between two askings. */
const PAUSE_MS = 400

/** What a borrower works with. */
export interface StateBorrowerOptions {
  /** Highest version that this router has in force. */
  readonly version: () => number
  /** Milliseconds since this router read the list of targets itself. */
  readonly targetsAgeMs: () => number
  /** Age at which a peer's newer list of targets is borrowed, in milliseconds. */
  readonly borrowAfterMs: number
  readonly peers: () => readonly Peer[]
  readonly onState: (state: PeerState, router: string) => void
  readonly log: DecisionLog
}

/** Takes configuration and targets from peers that have newer ones. */
export interface StateBorrower {
  /** Asks a peer where one has something newer. */
  check(): void
}

/** Creates a borrower that asks one peer at a time. */
export function createStateBorrower(
  options: StateBorrowerOptions,
): StateBorrower {
  const { version, targetsAgeMs, borrowAfterMs, peers, onState, log } = options
  let asking = false
  let hasAsked = false

  function hasNewer({ digest }: Peer): boolean {
    if (!digest) return false
    // A router that has just started learns where prompts are cached.
    if (!hasAsked) return true
    if (digest.configurationVersion > version()) return true
    const ageMs = digest.targetsAgeMs ?? Infinity
    return targetsAgeMs() > borrowAfterMs && ageMs < borrowAfterMs
  }

  async function ask({ router, address }: Peer): Promise<void> {
    const url = `http://${address.host}:${address.port}${STATE_PATH}?known=${version()}`
    const reply = await requestJson({
      url,
      method: 'GET',
      timeoutMs: ANSWER_TIMEOUT_MS,
    })
    const state = reply.isOk() ? decodePeerState(reply.value.body) : undefined
    if (state) {
      hasAsked = true
      onState(state, router)
    } else log.write(LogEvent.PeerFailed, { router, reason: 'no state in time' })
  }

  return {
    check() {
      if (asking) return
      const peer = peers().find(hasNewer)
      if (!peer) return
      asking = true
      void ask(peer).finally(() => {
        setTimeout(() => {
          asking = false
        }, PAUSE_MS).unref()
      })
    },
  }
}
