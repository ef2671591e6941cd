import { chooseDigestPeers, type RouterLocation } from '@auburnbay/core'

/** Creates routers spread evenly over data centres. */
export function createRouters(count: number, places: number): RouterLocation[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `router-${index}`,
    dataCentre: `dc-${index % places}`,
  }))
}

/** Returns the indices that each router sends heartbeats to. */
export function createPeerLists(
  routers: readonly RouterLocation[],
): number[][] {
  const indices = new Map(routers.map(({ id }, index) => [id, index]))
  return routers.map((router) =>
    chooseDigestPeers(router, routers).map((id) => indices.get(id) ?? 0),
  )
}

/** Counts the routers that each router exchanges heartbeats with. */
export function countPartners(peers: readonly number[][]): number[] {
  const partners = peers.map((list) => new Set(list))
  for (const [index, list] of peers.entries())
    for (const peer of list) partners[peer]?.add(index)
  return partners.map(({ size }) => size)
}
