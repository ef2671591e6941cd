import { rendezvousOrder } from '@auburnbay/core'
import type { FleetLoad } from './createFleetLoad.js'
import type { FleetView } from './createFleetView.js'
import { chatKey } from './chatKey.js'
import type { ServiceTables } from './createServiceTables.js'
import type { Routing } from './routing.js'
import { HintSource } from './routingExplanation.js'

/** What an explanation works with. */
export interface ExplainOptions {
  readonly tables: ServiceTables
  readonly load: FleetLoad
  readonly view: FleetView
  readonly eligible: (targetId: string) => boolean
  readonly maxLoadFactor: (service: string) => number
  /** Target that holds a chat, as far as cache events tell this router. */
  readonly cachedOn: (key: string) => string | undefined
}

/** Creates the answer to why a chat's next request would go somewhere. */
export function createExplain(options: ExplainOptions): Routing['explain'] {
  const { tables, load, view, eligible, maxLoadFactor } = options

  return (service, customer, chat) => {
    const table = tables.get(service)
    const key = chatKey(chat)
    const [group] = table?.ring.groupsOf(key) ?? []
    if (!table || !group) {
      const hintSource = HintSource.None
      return { service, customer, chat, hintSource, candidates: [] }
    }
    const mean = load.meanLoad(table, eligible)
    const order = rendezvousOrder(key, group.members)
    const hintedTarget = options.cachedOn(key)
    const hinted = order.filter(({ id }) => id === hintedTarget)
    const others = order.filter(({ id }) => id !== hintedTarget)
    const candidates = [...hinted, ...others].map(({ id, weight }) => ({
      id,
      load: load.loadOf(id),
      bound:
        maxLoadFactor(service) *
          (mean + 1 / Math.max(1, order.length)) *
          weight +
        1,
      eligible: eligible(id),
    }))
    const fits = candidates.find(
      (candidate) =>
        candidate.eligible && candidate.load + 1 <= candidate.bound,
    )
    return {
      service,
      customer,
      chat,
      hintSource: hinted.length > 0 ? HintSource.CacheEvents : HintSource.None,
      hintedTarget,
      home: view.coordinatorOf(group.id),
      candidates,
      chosen: fits?.id,
    }
  }
}
