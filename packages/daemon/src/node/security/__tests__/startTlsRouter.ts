import {
  createLogService,
  createVmList,
  createRouterSettings,
} from '@auburnbay/stand-ins'
import { createDaemon } from '../../createDaemon.js'
import type { Daemon } from '../../daemon.js'
import { resolveSettings } from '../../settings/resolveSettings.js'

/** A router whose listeners all use TLS. */
export interface TlsRouter {
  readonly daemon: Daemon
  stop(): Promise<void>
}

/** TLS files that all listeners use. */
export interface ListenerFiles {
  readonly certFile: string
  readonly keyFile: string
  readonly caFile?: string
}

/** Starts a router without targets on free ports. */
export async function startTlsRouter(
  tls: ListenerFiles,
  pollMs: number,
): Promise<TlsRouter> {
  const log = await createLogService()
  const vmList = await createVmList()
  const listener = { host: '127.0.0.1', port: 0, tls }
  const settings = resolveSettings({
    ...createRouterSettings({ id: 'router-1', log, vmList }),
    listen: { callers: listener, peers: listener, admin: listener },
    certificates: { pollMs },
  })
  const daemon = await createDaemon(settings._unsafeUnwrap())
  return {
    daemon,
    stop: async () => {
      await daemon.stop()
      await Promise.all([log.close(), vmList.close()])
    },
  }
}
