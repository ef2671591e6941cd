import type { CacheLocation } from '../routing/createCacheLocations.js'
import type { TargetLoad, LoadByTarget } from '../routing/targetLoad.js'
import type { PeerDigest } from './peerDigest.js'

/** The part of a digest that names targets by their place in the list of ids. */
export type DigestLoad = Pick<PeerDigest, 'work' | 'placed'>

/** Tokens in one unit of a digest. */
const TOKEN_UNIT = 100
/** Numbers that a digest has for each target with work. */
const NUMBERS_A_TARGET = 3

const placesByIds = new WeakMap<
  readonly string[],
  ReadonlyMap<string, number>
>()

/** Returns the place of each id; a list that stays the same is indexed once. */
function placesOf(ids: readonly string[]): ReadonlyMap<string, number> {
  const known = placesByIds.get(ids)
  if (known) return known
  const places = new Map(ids.map((id, place) => [id, place]))
  placesByIds.set(ids, places)
  return places
}

/** Writes work and placements; those of targets that are not listed are left out. */
export function encodeLoad(
  ids: readonly string[],
  work: LoadByTarget,
  placements: readonly CacheLocation[],
): DigestLoad {
  const places = placesOf(ids)
  const told: number[] = []
  for (const [id, { requests, pendingPromptTokens: unreadTokens }] of work) {
    const place = places.get(id)
    if (place === undefined) continue
    told.push(place, requests, Math.round(unreadTokens / TOKEN_UNIT))
  }
  const placed: [string, number][] = []
  for (const [key, id] of placements) {
    const place = places.get(id)
    if (place !== undefined) placed.push([key, place])
  }
  return { work: told, placed }
}

/** Reads the work that a digest tells. */
export function decodeLoad(
  ids: readonly string[],
  { work: told }: DigestLoad,
): LoadByTarget {
  const work = new Map<string, TargetLoad>()
  for (let at = 0; at < told.length; at += NUMBERS_A_TARGET) {
    const [place = -1, requests = 0, units = 0] = told.slice(
      at,
      at + NUMBERS_A_TARGET,
    )
    const id = ids[place]
    if (id === undefined) continue
    work.set(id, { requests, pendingPromptTokens: units * TOKEN_UNIT })
  }
  return work
}

/** Reads the placements that a digest tells. */
export function decodeCacheLocations(
  ids: readonly string[],
  { placed }: DigestLoad,
): CacheLocation[] {
  const placements: CacheLocation[] = []
  for (const [key, place] of placed) {
    const id = ids[place]
    if (id !== undefined) placements.push([key, id])
  }
  return placements
}
