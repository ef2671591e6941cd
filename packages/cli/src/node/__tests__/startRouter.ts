import { createDaemon, resolveSettings } from '@auburnbay/daemon'
import { formatAddress } from '@auburnbay/http-utils'
import { createLogService, createVmList } from '@auburnbay/stand-ins'

/** A router with the platform it needs. */
export interface TestRouter {
  /** Environment that makes the tool talk to the router. */
  readonly env: { AUBURNBAY_ADMIN: string; AUBURNBAY_TOKEN: string }
  stop(): Promise<void>
}

/** Starts a router on free ports. */
export async function startRouter(): Promise<TestRouter> {
  const log = await createLogService()
  const vmList = await createVmList()
  const anyPort = { host: '127.0.0.1', port: 0 }
  const token = 'test-admin-token-0123456789'
  const settings = resolveSettings({
    router: { id: 'router-1', dataCentre: 'dc-1' },
    listen: { callers: anyPort, peers: anyPort, admin: anyPort },
    logService: { url: log.url },
    vmList: { url: vmList.url },
    secrets: {
      peer: 'test-peer-secret-0123456789',
      hint: 'test-hint-secret-0123456789',
      admin: token,
    },
    logs: { level: 0 },
    stopping: { balancerDelayMs: 0 },
  })
  const daemon = await createDaemon(settings._unsafeUnwrap())
  return {
    env: {
      AUBURNBAY_ADMIN: `http://${formatAddress(daemon.addresses.admin)}`,
      AUBURNBAY_TOKEN: token,
    },
    stop: async () => {
      await daemon.stop()
      await Promise.all([log.close(), vmList.close()])
    },
  }
}
