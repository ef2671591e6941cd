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
 * A small fleet is fully meshed. In a large one each router calls two parents
 * in its data centre's tree, whose first level also calls other data centres.
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
    for (const far of remotePeers(self, others)) parents.add(far)
  return [...parents]
}

function remotePeers(
  self: RouterLocation,
  others: readonly RouterLocation[],
): string[] {
  const far = new Map<string, RouterLocation[]>()
  for (const router of others) {
    if (router.dataCentre === self.dataCentre) continue
    const list = far.get(router.dataCentre)
    if (list) list.push(router)
    else far.set(router.dataCentre, [router])
  }
  const places = [...far.keys()].map((id) => ({ id, weight: 1 }))
  const nearest = rendezvousOrder(`far\n${self.id}`, places).slice(0, 2)
  // Callers are spread over the readers of the log there.
  const rank = hash32(self.id) % TAILERS_PER_DATA_CENTRE
  return nearest.flatMap(({ id }) =>
    tailerOrder(id, far.get(id) ?? []).slice(rank, rank + 1),
  )
}
