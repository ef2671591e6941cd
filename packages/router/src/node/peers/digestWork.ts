import type { Placement } from '../routing/createPlacements.js'
import {
  NO_WORK,
  type TargetWork,
  type WorkByTarget,
} from '../routing/targetWork.js'
import type { PeerDigest } from './peerDigest.js'

/** The part of a digest that names targets by their place in the list of ids. */
export type DigestWork = Pick<PeerDigest, 'inFlight' | 'unread' | 'placed'>

/** Tokens in one unit of a digest. */
const TOKEN_UNIT = 100

/** Writes work and placements; those of targets that are not listed are left out. */
export function encodeWork(
  ids: readonly string[],
  work: WorkByTarget,
  placements: readonly Placement[],
): DigestWork {
  const places = new Map(ids.map((id, place) => [id, place]))
  const placed: [string, number][] = []
  for (const [key, id] of placements) {
    const place = places.get(id)
    if (place !== undefined) placed.push([key, place])
  }
  const listed = ids.map((id) => work.get(id) ?? NO_WORK)
  return {
    inFlight: listed.map(({ requests }) => requests),
    unread: listed.map((own) => Math.round(own.unreadTokens / TOKEN_UNIT)),
    placed,
  }
}

/** Reads the work that a digest tells. */
export function decodeWork(
  ids: readonly string[],
  { inFlight, unread }: DigestWork,
): WorkByTarget {
  const work = new Map<string, TargetWork>()
  for (const [place, id] of ids.entries()) {
    const requests = inFlight[place] ?? 0
    const unreadTokens = (unread[place] ?? 0) * TOKEN_UNIT
    work.set(id, { requests, unreadTokens })
  }
  return work
}

/** Reads the placements that a digest tells. */
export function decodePlaced(
  ids: readonly string[],
  { placed }: DigestWork,
): Placement[] {
  const placements: Placement[] = []
  for (const [key, place] of placed) {
    const id = ids[place]
    if (id !== undefined) placements.push([key, id])
  }
  return placements
}
