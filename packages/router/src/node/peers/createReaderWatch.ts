import type { Pollers, PolledSource } from '../dissemination/createPollers.js'
import type { Peer, PeerTable } from './createPeerTable.js'
import { readerTakeoverMs } from './readerTakeoverMs.js'

/** Options for {@link createReaderWatch}. */
export interface ReaderWatchOptions {
  readonly router: string
  readonly table: Pick<PeerTable, 'livePeers'>
  readonly pollers: Pollers
  /** Returns the age up to which a poll of the log is fresh, in milliseconds. */
  readonly maxPollAgeMs: () => number
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Knows which router polls the log for the fleet. */
export interface ReaderWatch {
  /** Returns the live peers that precede this router by name, and so poll the log before it. */
  earlierPeers(): Peer[]
  /** Whether a router that precedes this one by name has polled a source lately. */
  hasReader(source: PolledSource): boolean
}

/** Creates a watch that decides on the polls that digests tell of. */
export function createReaderWatch(options: ReaderWatchOptions): ReaderWatch {
  const { router, table, pollers, maxPollAgeMs, now } = options

  const earlierPeers = (): Peer[] =>
    table.livePeers(now()).filter((peer) => peer.router < router)

  return {
    earlierPeers,
    hasReader(source) {
      const maxAgeMs = readerTakeoverMs(maxPollAgeMs(), earlierPeers().length)
      return pollers.hasFreshBefore(router, source, maxAgeMs, now())
    },
  }
}
