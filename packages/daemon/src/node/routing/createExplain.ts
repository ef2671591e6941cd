import { rendezvousOrder } from '@auburnbay/core'
import type { FleetLoad } from './createFleetLoad.js'
import type { FleetView } from './createFleetView.js'
import { chatKey } from './chatKey.js'
import type { ServiceTables } from './createServiceTables.js'
import type { Routing } from './routing.js'
import { HintSource } from './routingExplanation.js'

/** Options for {@link createExplain}. */
export interface ExplainOptions {
  readonly tables: ServiceTables
  readonly load: FleetLoad
  readonly view: FleetView
  readonly eligible: (targetId: string) => boolean
  readonly maxLoadFactor: (service: string) => number
  /** Target whose cache has a chat according to its cache events. */
  readonly cachedOn: (key: string) => string | undefined
}

/** Creates the function that explains where a chat's next request would go. */
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
    const mean = load.mean(table, eligible)
    const order = rendezvousOrder(key, group.members)
    const hintedTarget = options.cachedOn(key)
    const hinted = order.filter(({ id }) => id === hintedTarget)
    const others = order.filter(({ id }) => id !== hintedTarget)
    const candidates = [...hinted, ...others].map(({ id, weight }) => ({
      id,
      load: load.get(id),
      bound:
        maxLoadFactor(service) *
          (mean + 1 / Math.max(1, order.length)) *
          weight +
        1,
      eligible: eligible(id),
    }))
    const chosen = candidates.find(
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
      chosen: chosen?.id,
    }
  }
}
