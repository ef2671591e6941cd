import type { BenchFleet } from '../routingWay.js'
import type { GrantNode } from './createGrantNode.js'

/** What the exchange of digests works with. */
export interface DigestOptions {
  readonly fleet: BenchFleet
  readonly nodes: readonly GrantNode[]
  /** Targets of the group, by index. */
  readonly members: readonly number[]
  readonly routersOf: (node: GrantNode) => readonly string[]
  readonly eligible: (node: GrantNode, index: number) => boolean
}

const DIGEST_EVERY_MS = 2_000
const DIGEST_MAX_AGE_MS = 5_000

/** Gives each router the counts of all live ones, every heartbeat. */
export function startDigests(options: DigestOptions): void {
  const { fleet, nodes, members, routersOf, eligible } = options

  function refresh(node: GrantNode): void {
    const live = fleet.liveRouters(node.self)
    const known = members.map((_, index) => {
      let total = 0
      for (const router of live)
        total += nodes[router]?.holder.inFlight[index] ?? 0
      return total
    })
    node.shares.refresh({
      routers: routersOf(node),
      knownLoads: known,
      ageMs: DIGEST_EVERY_MS / 2,
      maxAgeMs: DIGEST_MAX_AGE_MS,
      maxLoadFactor: fleet.maxLoadFactor,
      eligible: (index) => eligible(node, index),
    })
  }

  function exchange(): void {
    for (const node of nodes) refresh(node)
    fleet.after(DIGEST_EVERY_MS, exchange)
  }

  exchange()
}
