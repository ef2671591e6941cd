import { TAILERS_PER_DATA_CENTRE } from '../constants.js'
import { rendezvousOrder } from '../routing/rendezvousOrder.js'

/** Id and data centre of a live router. */
export interface RouterLocation {
  readonly id: string
  readonly dataCentre: string
}

/** A peer and whether it currently reads the log. */
export interface PeerReaderStatus extends RouterLocation {
  readonly readsLog: boolean
}

/**
 * Returns the router ids of a data centre in a fixed order. The first
 * `TAILERS_PER_DATA_CENTRE` of them read the log directly.
 */
export function tailerOrder(
  dataCentre: string,
  routers: readonly RouterLocation[],
): string[] {
  const local = routers.filter((router) => router.dataCentre === dataCentre)
  const weighted = local.map(({ id }) => ({ id, weight: 1 }))
  return rendezvousOrder(`tailer\n${dataCentre}`, weighted).map(({ id }) => id)
}

/**
 * Returns whether a router reads the log itself instead of following its
 * peers. Any router does so while no live peer reads the log.
 */
export function shouldTail(
  self: RouterLocation,
  livePeers: readonly PeerReaderStatus[],
): boolean {
  if (!livePeers.some((peer) => peer.readsLog)) return true
  const order = tailerOrder(self.dataCentre, [self, ...livePeers])
  return order.indexOf(self.id) < TAILERS_PER_DATA_CENTRE
}
