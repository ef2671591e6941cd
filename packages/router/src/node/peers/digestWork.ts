import type { InFlightCounts } from '../routing/createFleetLoad.js'
import type { Placement } from '../routing/createPlacements.js'
import type { PeerDigest } from './peerDigest.js'

/** The part of a digest that names targets by their place in the list of ids. */
export type DigestWork = Pick<PeerDigest, 'inFlight' | 'placed'>

/** Writes counts and placements; those of targets that are not listed are left out. */
export function encodeWork(
  ids: readonly string[],
  counts: InFlightCounts,
  placements: readonly Placement[],
): DigestWork {
  const places = new Map(ids.map((id, place) => [id, place]))
  const placed: [string, number][] = []
  for (const [key, id] of placements) {
    const place = places.get(id)
    if (place !== undefined) placed.push([key, place])
  }
  return { inFlight: ids.map((id) => counts.get(id) ?? 0), placed }
}

/** Reads the counts that a digest tells. */
export function decodeInFlight(
  ids: readonly string[],
  { inFlight }: DigestWork,
): InFlightCounts {
  const counts = new Map<string, number>()
  for (const [place, id] of ids.entries()) counts.set(id, inFlight[place] ?? 0)
  return counts
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
