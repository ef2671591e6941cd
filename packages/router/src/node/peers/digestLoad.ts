import type { TargetLoad, LoadByTarget } from '../routing/targetLoad.js'
import type { PeerDigest } from './peerDigest.js'

/** The field of a digest that identifies targets by their index in the list of ids. */
export type DigestLoad = Pick<PeerDigest, 'work'>

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

/** Encodes load; that of unlisted targets is left out. */
export function encodeLoad(
  ids: readonly string[],
  load: LoadByTarget,
): DigestLoad {
  const indexes = indexOf(ids)
  const work: number[] = []
  for (const [id, { requests, pendingPromptTokens }] of load) {
    const index = indexes.get(id)
    if (index === undefined) continue
    work.push(index, requests, Math.round(pendingPromptTokens / TOKEN_UNIT))
  }
  return { work }
}

/** Decodes the load in a digest. */
export function decodeLoad(
  ids: readonly string[],
  { work }: DigestLoad,
): LoadByTarget {
  const load = new Map<string, TargetLoad>()
  for (let offset = 0; offset < work.length; offset += NUMBERS_PER_TARGET) {
    const id = ids[work[offset] ?? -1]
    if (id === undefined) continue
    const requests = work[offset + 1] ?? 0
    const units = work[offset + 2] ?? 0
    load.set(id, { requests, pendingPromptTokens: units * TOKEN_UNIT })
  }
  return load
}
