import type { Peer } from '../../peers/createPeerTable.js'
import type { SharedRecords } from '../../peers/createSharedRecords.js'
import type { PeerDigest } from '../../peers/peerDigest.js'
import type { CacheLocations } from '../../routing/createCacheLocations.js'
import type { FleetLoad } from '../../routing/createFleetLoad.js'
import type { TargetsFollower } from '../../targets/followTargets.js'
import type { DigestExchange } from '../createDigestExchange.js'
import type { Pollers } from '../createPollers.js'

/** The part of a simulated router that keeps its target list. */
export interface TestListKeeper {
  status(): Partial<PeerDigest>
  onDigest(peer: Peer): void
}

/** One router of a simulated fleet. */
export interface TestRouter {
  readonly id: string
  readonly exchange: DigestExchange
  readonly load: FleetLoad
  readonly cacheLocations: CacheLocations
  readonly records: SharedRecords
  readonly pollers: Pollers
  /** Peers that it counted as lost, with the time. */
  readonly lost: (readonly [peer: string, atMs: number])[]
  isRunning: boolean
  isFrozen: boolean
  isStopping: boolean
  /** Milliseconds that its digests take longer. */
  lagMs: number
  /** Milliseconds since its last own poll of the log; null if it polls nothing. */
  pollAgeMs: number | null
  sentBytes: number
  sentDigests: number
  listKeeper?: TestListKeeper | undefined
}

/** A router with its target list and the faults that it has. */
export interface ListRouter {
  readonly router: TestRouter
  readonly follower: TargetsFollower
  readyIds(): ReadonlySet<string>
  /** Its calls to the log are not answered. */
  isCutFromLog: boolean
  /** It answers no request for its state, and its own are not answered. */
  isStuck: boolean
}
