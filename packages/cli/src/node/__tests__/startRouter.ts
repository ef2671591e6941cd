import { createDaemon, resolveSettings } from '@auburnbay/daemon'
import { formatAddress } from '@auburnbay/http-utils'
import {
  createLogService,
  createVmList,
  createRouterSettings,
} from '@auburnbay/stand-ins'

/** A router with its log service and VM list. */
export interface TestRouter {
  /** Environment variables that point the tool at the router. */
  readonly env: { AUBURNBAY_ADMIN: string; AUBURNBAY_TOKEN: string }
  stop(): Promise<void>
}

/** Starts a router on free ports. */
export async function startRouter(): Promise<TestRouter> {
  const log = await createLogService()
  const vmList = await createVmList()
  const base = createRouterSettings({ id: 'router-1', log, vmList })
  const settings = resolveSettings(base)
  const daemon = await createDaemon(settings._unsafeUnwrap())
  return {
    env: {
      AUBURNBAY_ADMIN: `http://${formatAddress(daemon.addresses.admin)}`,
      AUBURNBAY_TOKEN: base.secrets.admin,
    },
    stop: async () => {
      await daemon.stop()
      await Promise.all([log.close(), vmList.close()])
    },
  }
}
