import { setTimeout as sleep } from 'node:timers/promises'
import {
  DIRECTORY_POLL_MS,
  DIRECTORY_RETRY_MS,
  MAX_DIRECTORY_RETRY_MS,
  DIGEST_FANOUT,
} from '../constants.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import type { RouterDirectory } from '../routerPorts.js'
import type { PeerAddress } from './peerAddress.js'

/** Options for {@link joinDirectory}. */
export interface JoinDirectoryOptions {
  readonly directory: RouterDirectory
  readonly logRestores: LogRestores
  readonly router: string
  readonly address: PeerAddress
  /** Called with all registered routers. */
  readonly onListed: (routers: ReadonlyMap<string, PeerAddress>) => void
}

function isSameAddress(a: PeerAddress | undefined, b: PeerAddress): boolean {
  return a?.host === b.host && a.port === b.port
}

/** Returns the poll interval; it grows with the fleet to keep the polls of all routers at a few per second. */
function pollIntervalMs(routers: number): number {
  return DIRECTORY_POLL_MS * Math.max(1, routers / DIGEST_FANOUT)
}

/** Registers a router in the router directory, then polls the directory. */
export function joinDirectory(options: JoinDirectoryOptions): {
  leave(): void
} {
  const { directory, logRestores, router, address, onListed } = options
  const controller = new AbortController()
  const { signal } = controller

  let isRegistered = false
  let pauseAborter = new AbortController()

  // The log may have lost the registration.
  logRestores.onRestore(() => {
    isRegistered = false
    pauseAborter.abort()
  })

  function pause(ms: number): Promise<void> {
    pauseAborter = new AbortController()
    return sleep(ms, undefined, {
      signal: AbortSignal.any([signal, pauseAborter.signal]),
      ref: false,
    }).catch(() => undefined)
  }

  async function register(): Promise<void> {
    const restores = logRestores.count
    const isConfirmed = await directory.register(router, address)
    isRegistered =
      isConfirmed && (logRestores.count === restores || restores === undefined)
  }

  async function run(): Promise<void> {
    let retryMs = DIRECTORY_RETRY_MS
    while (!signal.aborted) {
      if (!isRegistered) await register()
      const listed = await directory.list()
      // The response to the registration may have been lost.
      isRegistered ||= isSameAddress(listed?.get(router), address)
      if (listed) onListed(listed)
      if (isRegistered && listed) {
        retryMs = DIRECTORY_RETRY_MS
        await pause(pollIntervalMs(listed.size))
      } else {
        await pause(retryMs)
        retryMs = Math.min(2 * retryMs, MAX_DIRECTORY_RETRY_MS)
      }
    }
  }

  void run()
  return {
    leave() {
      controller.abort()
    },
  }
}
