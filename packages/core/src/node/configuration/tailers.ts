import { TAILERS_PER_DATA_CENTRE } from '../constants.js'
import { rendezvousOrder } from '../routing/rendezvousOrder.js'

/** A live router, as the choice of log readers sees it. */
export interface RouterLocation {
  readonly id: string
  readonly dataCentre: string
}

/** A peer that says whether it reads the log now. */
export interface PeerReaderStatus extends RouterLocation {
  readonly readsLog: boolean
}

/** Orders a data centre's routers; the first ones read the log. */
export function tailerOrder(
  dataCentre: string,
  routers: readonly RouterLocation[],
): string[] {
  const here = routers.filter((router) => router.dataCentre === dataCentre)
  const weighted = here.map(({ id }) => ({ id, weight: 1 }))
  return rendezvousOrder(`tailer\n${dataCentre}`, weighted).map(({ id }) => id)
}

/** Decides whether a router reads the log, or follows its peers. */
export function shouldTail(
  self: RouterLocation,
  livePeers: readonly PeerReaderStatus[],
): boolean {
  if (!livePeers.some((peer) => peer.readsLog)) return true
  const order = tailerOrder(self.dataCentre, [self, ...livePeers])
  return order.indexOf(self.id) < TAILERS_PER_DATA_CENTRE
}
