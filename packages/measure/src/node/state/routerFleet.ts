import { chooseDigestPeers, type RouterLocation } from '@auburnbay/core'

/** Creates routers spread evenly over data centres. */
export function createRouters(
  count: number,
  dataCentres: number,
): RouterLocation[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `router-${index}`,
    dataCentre: `dc-${index % dataCentres}`,
  }))
}

/** Returns, for each router, the indices of the peers that it sends heartbeats to. */
export function createPeerLists(
  routers: readonly RouterLocation[],
): number[][] {
  const indices = new Map(routers.map(({ id }, index) => [id, index]))
  return routers.map((router) =>
    chooseDigestPeers(router, routers).map((id) => indices.get(id) ?? 0),
  )
}

/** Counts the peers that each router sends heartbeats to or receives them from. */
export function countPeers(peers: readonly number[][]): number[] {
  const contacts = peers.map((list) => new Set(list))
  for (const [index, list] of peers.entries())
    for (const peer of list) contacts[peer]?.add(index)
  return contacts.map(({ size }) => size)
}
