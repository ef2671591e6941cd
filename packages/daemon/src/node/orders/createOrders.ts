import { ORDER_LEASE } from '@auburnbay/core'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import type { LogClient } from '../logService/logClient.js'
import type { VmListPoller } from '../membership/createVmListPoller.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { Loop } from '../tasks/createLoop.js'
import { createLeaseKeeper } from './createLeaseKeeper.js'
import { createOrderTask, type OrderTaskOptions } from './createOrderTask.js'

/** The parts of a daemon that orders work with. */
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

/** Starts the orders of one router. */
export function createOrders(options: OrdersOptions): Loop {
  const { settings, incarnation, log, tailer, vmList, ...rest } = options
  const router = settings.router.id
  const lease = createLeaseKeeper({
    log,
    name: ORDER_LEASE,
    holder: `${router}/${incarnation}`,
    ttlMs: settings.orders.leaseMs,
    now: options.now,
    nowEpochMs: Date.now,
  })
  return createOrderTask({
    ...rest,
    router,
    lease,
    configuration: () => tailer.state.configuration,
    announce: (targets) => {
      vmList.applyReportedDepartures(
        Object.fromEntries(targets.map((id) => [id, 0])),
      )
    },
    readsLog: () => tailer.connected,
    loadsPerMinute: settings.orders.weightLoadsPerMinute,
  })
}
