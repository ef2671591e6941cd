import type { CacheLocation } from '../routing/createCacheLocations.js'
import type { PeerDigest } from './peerDigest.js'

/** Returns the new cache locations that a digest reports. */
export function cacheLocationsOf({ placed }: PeerDigest): CacheLocation[] {
  const locations: CacheLocation[] = []
  for (const [key, id] of placed)
    if (typeof id === 'string') locations.push([key, id])
  return locations
}
