import type { CacheLocation } from '../routing/createCacheLocations.js'
import type { TargetLoad, LoadByTarget } from '../routing/targetLoad.js'
import type { PeerDigest } from './peerDigest.js'

/** The fields of a digest that identify targets by their index in the list of ids. */
export type DigestLoad = Pick<PeerDigest, 'work' | 'placed'>

/** Tokens in one unit of a digest. */
const TOKEN_UNIT = 100
/** Numbers that a digest has for each target with load. */
const NUMBERS_PER_TARGET = 3

const indexCache = new WeakMap<readonly string[], ReadonlyMap<string, number>>()

/** Returns the index of each id, cached by the identity of the list. */
function indexOf(ids: readonly string[]): ReadonlyMap<string, number> {
  const cached = indexCache.get(ids)
  if (cached) return cached
  const indexes = new Map(ids.map((id, index) => [id, index]))
  indexCache.set(ids, indexes)
  return indexes
}

/** Encodes load and cache locations; those of unlisted targets are left out. */
export function encodeLoad(
  ids: readonly string[],
  load: LoadByTarget,
  locations: readonly CacheLocation[],
): DigestLoad {
  const indexes = indexOf(ids)
  const work: number[] = []
  for (const [id, { requests, pendingPromptTokens }] of load) {
    const index = indexes.get(id)
    if (index === undefined) continue
    work.push(index, requests, Math.round(pendingPromptTokens / TOKEN_UNIT))
  }
  const placed: [string, number][] = []
  for (const [key, id] of locations) {
    const index = indexes.get(id)
    if (index !== undefined) placed.push([key, index])
  }
  return { work, placed }
}

/** Decodes the load in a digest. */
export function decodeLoad(
  ids: readonly string[],
  { work }: DigestLoad,
): LoadByTarget {
  const load = new Map<string, TargetLoad>()
  for (let offset = 0; offset < work.length; offset += NUMBERS_PER_TARGET) {
    const [index = -1, requests = 0, units = 0] = work.slice(
      offset,
      offset + NUMBERS_PER_TARGET,
    )
    const id = ids[index]
    if (id === undefined) continue
    load.set(id, { requests, pendingPromptTokens: units * TOKEN_UNIT })
  }
  return load
}

/** Decodes the cache locations in a digest. */
export function decodeCacheLocations(
  ids: readonly string[],
  { placed }: DigestLoad,
): CacheLocation[] {
  const locations: CacheLocation[] = []
  for (const [key, index] of placed) {
    const id = ids[index]
    if (id !== undefined) locations.push([key, id])
  }
  return locations
}
