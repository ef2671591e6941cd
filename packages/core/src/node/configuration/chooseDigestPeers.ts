import {
  DIGEST_FANOUT,
  FULL_MESH_ROUTERS,
  TAILERS_PER_DATA_CENTRE,
} from '../constants.js'
import { hash32 } from '../hash/hash32.js'
import { rendezvousOrder } from '../routing/rendezvousOrder.js'
import { type RouterLocation, tailerOrder } from './tailers.js'

/**
 * Chooses the peers that a router exchanges heartbeats with.
 *
 * A small fleet is a full mesh. In a larger one, the routers of a data centre
 * form a tree in which each router contacts two parents; the routers of the
 * first level also contact other data centres.
 */
export function chooseDigestPeers(
  self: RouterLocation,
  routers: readonly RouterLocation[],
): string[] {
  const others = routers.filter(({ id }) => id !== self.id)
  if (others.length < FULL_MESH_ROUTERS) return others.map(({ id }) => id)
  const order = tailerOrder(self.dataCentre, [self, ...others])
  const rank = order.indexOf(self.id)
  const parents = new Set<string>()
  for (const shift of [0, 1]) {
    const parent = order[Math.floor(rank / DIGEST_FANOUT) + shift]
    if (parent !== undefined && parent !== self.id) parents.add(parent)
  }
  if (rank < DIGEST_FANOUT)
    for (const remote of chooseRemotePeers(self, others)) parents.add(remote)
  return [...parents]
}

function chooseRemotePeers(
  self: RouterLocation,
  others: readonly RouterLocation[],
): string[] {
  const byDataCentre = new Map<string, RouterLocation[]>()
  for (const router of others) {
    if (router.dataCentre === self.dataCentre) continue
    const list = byDataCentre.get(router.dataCentre)
    if (list) list.push(router)
    else byDataCentre.set(router.dataCentre, [router])
  }
  const dataCentres = [...byDataCentre.keys()].map((id) => ({ id, weight: 1 }))
  const chosen = rendezvousOrder(`far\n${self.id}`, dataCentres).slice(0, 2)
  // Spreads the contacting routers over the log tailers of the data centre.
  const rank = hash32(self.id) % TAILERS_PER_DATA_CENTRE
  return chosen.flatMap(({ id }) =>
    tailerOrder(id, byDataCentre.get(id) ?? []).slice(rank, rank + 1),
  )
}
