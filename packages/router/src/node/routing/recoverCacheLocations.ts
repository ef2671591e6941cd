import { setTimeout as sleep } from 'node:timers/promises'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { Peers } from '../peers/createPeers.js'
import type { CacheInventory } from '../targets/cacheInventory.js'
import type { Target } from '../targets/target.js'
import { assignedTargets } from './assignedTargets.js'
import type { CacheLocations } from './createCacheLocations.js'

/** Interval of checks whether targets and routers are listed, in milliseconds. */
const CHECK_MS = 10
/** Longest wait for both lists, in milliseconds. */
const MAX_WAIT_MS = 2_000
/** Time until live peers are known, in milliseconds. */
const PEERS_KNOWN_MS = 500
/** Targets that one router asks at most; a larger share is not worth the calls. */
const MAX_ASKED_TARGETS = 64

/** What the recovery needs to know of the other routers. */
export type RecoveryPeers = Pick<
  Peers,
  'listedRouters' | 'livePeers' | 'hasEstablishedPeer' | 'scheduleBroadcast'
>

/** Options for {@link recoverCacheLocations}. */
export interface CacheRecoveryOptions {
  readonly router: string
  readonly inventory: CacheInventory
  readonly cacheLocations: CacheLocations
  /** Returns the targets that cache prompts; undefined until the target list is loaded. */
  readonly targets: () => readonly Target[] | undefined
  readonly peers: RecoveryPeers
  readonly log: DecisionLog
  readonly signal: AbortSignal
}

/**
 * Learns from the targets where prompts are cached. Answers the restart of the
 * whole fleet: targets keep their caches, but no router remembers them. Each
 * router asks its share of the targets and reports the locations to its peers.
 */
export async function recoverCacheLocations(
  options: CacheRecoveryOptions,
): Promise<void> {
  const { router, inventory, cacheLocations, peers, log, signal } = options
  const asked = new Set<string>()

  async function ask(target: Target): Promise<void> {
    asked.add(target.id)
    const prompts = await inventory.list(target)
    if (signal.aborted) return
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

  for (let waitedMs = 0; waitedMs < MAX_WAIT_MS; waitedMs += CHECK_MS) {
    if (options.targets() && peers.listedRouters()) break
    await pause(CHECK_MS)
    if (signal.aborted) return
  }
  await askShare(peers.listedRouters() ?? [])
  // Listed routers may be gone; live ones take over their shares.
  await pause(PEERS_KNOWN_MS)
  if (signal.aborted || peers.hasEstablishedPeer()) return
  await askShare(peers.livePeers())
}
