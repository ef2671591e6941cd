import { setTimeout as sleep } from 'node:timers/promises'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { Peers } from '../peers/createPeers.js'
import type { CacheInventory } from '../targets/cacheInventory.js'
import type { TargetStatements } from '../targets/createTargetStatements.js'
import type { Target } from '../targets/target.js'
import { assignedTargets } from './assignedTargets.js'
import type { CacheLocations } from './createCacheLocations.js'

/** Interval of checks whether targets and routers are listed, in milliseconds. */
const CHECK_MS = 10
/** Time from the target list until the shares of all routers are known, in milliseconds. */
const COMPLETE_MS = 250
/** Time until live peers are known, in milliseconds. */
const PEERS_KNOWN_MS = 500
/** Targets that one router asks at most; a larger share is not worth the calls. */
const MAX_ASKED_TARGETS = 64

/** What the recovery needs to know of the other routers. */
export type RecoveryPeers = Pick<
  Peers,
  'listedRouters' | 'expectedPeers' | 'hasEstablishedPeer' | 'scheduleBroadcast'
>

/** Options for {@link createCacheRecovery}. */
export interface CacheRecoveryOptions {
  readonly router: string
  readonly inventory: CacheInventory
  readonly cacheLocations: CacheLocations
  /** Returns the targets that cache prompts; undefined until the target list is loaded. */
  readonly targets: () => readonly Target[] | undefined
  readonly statements: Pick<TargetStatements, 'observe' | 'acceptsRequests'>
  readonly peers: RecoveryPeers
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Recovery of cache locations after a start. */
export interface CacheRecovery {
  /** Returns the milliseconds until the locations are expected to be complete; 0 once they are and before targets are listed. */
  remainingMs(): number
  /** Resolves when all targets of this router's share were asked. */
  readonly done: Promise<void>
  stop(): void
}

/**
 * Learns from the targets where prompts are cached. Answers the restart of the
 * whole fleet: targets keep their caches, but no router remembers them. Each
 * router asks its share of the targets and reports the locations to its peers.
 */
export function createCacheRecovery(
  options: CacheRecoveryOptions,
): CacheRecovery {
  const { router, inventory, cacheLocations, statements } = options
  const { peers, log, now } = options
  const stopping = new AbortController()
  const { signal } = stopping
  const isStopped = (): boolean => signal.aborted
  let loadedAtMs: number | undefined
  const asked = new Set<string>()

  async function ask(target: Target): Promise<void> {
    asked.add(target.id)
    if (!statements.acceptsRequests(target)) return
    const listing = await inventory.list(target)
    if (isStopped()) return
    if (listing) statements.observe(target, listing.statement)
    const prompts = listing?.parts
    if (!prompts) {
      log.write(LogEvent.CacheUnknown, { target: target.id })
      return
    }
    for (const prompt of prompts) cacheLocations.add(prompt, target.id)
    log.write(LogEvent.CacheRecovered, {
      target: target.id,
      prompts: prompts.length,
    })
    peers.scheduleBroadcast()
  }

  async function askShare(routers: readonly string[]): Promise<void> {
    const targets = options.targets() ?? []
    const share = assignedTargets(router, routers, targets)
      .filter(({ id }) => !asked.has(id))
      .slice(0, MAX_ASKED_TARGETS - asked.size)
    await Promise.all(share.map(ask))
  }

  async function pause(ms: number): Promise<void> {
    await sleep(ms, undefined, { signal }).catch(() => undefined)
  }

  async function run(): Promise<void> {
    while (!isStopped() && !options.targets()) await pause(CHECK_MS)
    loadedAtMs = now()
    // The directory may be unavailable although a peer knew the targets.
    for (let ms = 0; ms < COMPLETE_MS && !peers.listedRouters(); ms += CHECK_MS)
      await pause(CHECK_MS)
    if (isStopped()) return
    await askShare(peers.listedRouters() ?? [])
    // Listed routers may be gone; the others take over their shares.
    await pause(PEERS_KNOWN_MS)
    if (isStopped() || peers.hasEstablishedPeer()) return
    await askShare(peers.expectedPeers())
  }

  return {
    remainingMs: () =>
      loadedAtMs === undefined
        ? 0
        : Math.max(0, loadedAtMs + COMPLETE_MS - now()),
    done: run(),
    stop() {
      stopping.abort()
    },
  }
}
