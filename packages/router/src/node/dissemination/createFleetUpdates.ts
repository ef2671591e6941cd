import { cacheLocationsOf } from '../peers/cacheLocationsOf.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import type { PeerDigest } from '../peers/peerDigest.js'
import {
  decodeRecord,
  encodeRecord,
  type SharedRecord,
} from '../peers/sharedRecord.js'
import type {
  CacheLocation,
  CacheLocations,
} from '../routing/createCacheLocations.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import {
  decodeStreamVersions,
  encodeStreamVersions,
  type StreamVersion,
} from '../streams/streamVersion.js'
import { createUpdateQueue, Direction } from './createUpdateQueue.js'

/** Options for {@link createFleetUpdates}. */
export interface FleetUpdatesOptions {
  readonly cacheLocations: CacheLocations
  readonly streams: Pick<ResumableStreams, 'takeUpdates' | 'merge'>
  readonly records: Pick<SharedRecords, 'takeUpdates' | 'merge'>
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** The fields of a digest that carry facts learnt since the last one. */
export type DigestUpdates = Pick<PeerDigest, 'placed' | 'streams' | 'records'>

/** Facts that every router of the fleet learns once: cache locations, versions of streams, shared records. */
export interface FleetUpdates {
  /** Merges the facts in a digest, and queues those that are new for others. */
  merge(digest: PeerDigest, directions: readonly Direction[]): void
  /** Returns the facts for the next digests in a direction. */
  take(direction: Direction): DigestUpdates
  /** Drops the facts of a direction in which nobody is. */
  clear(direction: Direction): void
}

/** A digest without facts. */
export const NO_UPDATES: DigestUpdates = {
  placed: [],
  streams: [],
  records: [],
}

const BOTH = [Direction.Up, Direction.Down]

/** Creates the queues of a router. */
export function createFleetUpdates(options: FleetUpdatesOptions): FleetUpdates {
  const { cacheLocations, streams, records, now } = options
  const locationQueue = createUpdateQueue<CacheLocation>()
  const streamQueue = createUpdateQueue<StreamVersion>()
  const recordQueue = createUpdateQueue<SharedRecord>()

  /** Queues what this router itself has learnt, and the records of its peers. */
  function collect(): void {
    locationQueue.push(cacheLocations.takeUpdates(), BOTH)
    streamQueue.push(streams.takeUpdates(), BOTH)
    recordQueue.push(records.takeUpdates(), BOTH)
  }

  return {
    merge(digest, directions) {
      const locations = cacheLocations.merge(cacheLocationsOf(digest))
      locationQueue.push(locations, directions)
      const versions = decodeStreamVersions(digest.streams)
      streams.merge(versions)
      streamQueue.push(versions, directions)
      records.merge(digest.records.map((item) => decodeRecord(item, now())))
    },
    take(direction) {
      collect()
      return {
        placed: locationQueue.take(direction),
        streams: encodeStreamVersions(streamQueue.take(direction)),
        records: recordQueue
          .take(direction)
          .map((record) => encodeRecord(record, now())),
      }
    },
    clear(direction) {
      locationQueue.clear(direction)
      streamQueue.clear(direction)
      recordQueue.clear(direction)
    },
  }
}
