import { ORDER_LEASE } from '@auburnbay/core'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import type { LogClient } from '../logService/logClient.js'
import type { VmListPoller } from '../membership/createVmListPoller.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { Loop } from '../tasks/createLoop.js'
import { createLeaseHolder } from './createLeaseHolder.js'
import { createOrderTask, type OrderTaskOptions } from './createOrderTask.js'

/** Options for {@link createOrders}. */
export interface OrdersOptions extends Pick<
  OrderTaskOptions,
  'logger' | 'now' | 'ownInFlight' | 'peers'
> {
  readonly settings: ResolvedSettings
  readonly incarnation: string
  readonly log: LogClient
  readonly tailer: ConfigurationTailer
  readonly vmList: VmListPoller
}

/** Starts sending orders to engines while this router holds the order lease. */
export function createOrders(options: OrdersOptions): Loop {
  const { settings, incarnation, log, tailer, vmList, ...rest } = options
  const router = settings.router.id
  const leaseHolder = createLeaseHolder({
    log,
    name: ORDER_LEASE,
    holder: `${router}/${incarnation}`,
    ttlMs: settings.orders.leaseMs,
    now: options.now,
    epochNow: Date.now,
  })
  return createOrderTask({
    ...rest,
    router,
    leaseHolder,
    configuration: () => tailer.state.configuration,
    announceDraining: (targets) => {
      vmList.applyReportedDepartures(
        Object.fromEntries(targets.map((id) => [id, 0])),
      )
    },
    readsLog: () => tailer.connected,
    loadsPerMinute: settings.orders.weightLoadsPerMinute,
  })
}
