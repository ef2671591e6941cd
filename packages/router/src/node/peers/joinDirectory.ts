import { setTimeout as sleep } from 'node:timers/promises'
import {
  DIRECTORY_POLL_MS,
  DIRECTORY_RETRY_MS,
  MAX_DIRECTORY_RETRY_MS,
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
  /** Whether a live peer lists the directory more often, and tells this router of those that it finds. */
  readonly hasLister: () => boolean
  /** Called with all registered routers. */
  readonly onListed: (routers: ReadonlyMap<string, PeerAddress>) => void
}

function isSameAddress(a: PeerAddress | undefined, b: PeerAddress): boolean {
  return a?.host === b.host && a.port === b.port
}

/**
 * Returns whether a router must list the directory again: one lists it for the fleet at each
 * interval, and the others together as often.
 */
export function isListingDue(
  intervals: number,
  routers: number,
  hasLister: boolean,
): boolean {
  return !hasLister || intervals >= routers
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

  async function pauseBetweenListings(routers: number): Promise<void> {
    let intervals = 0
    do {
      await pause(DIRECTORY_POLL_MS)
      intervals += 1
    } while (
      isRegistered &&
      !signal.aborted &&
      !isListingDue(intervals, routers, options.hasLister())
    )
  }

  async function run(): Promise<void> {
    let retryMs = DIRECTORY_RETRY_MS
    let isListed = false
    while (!signal.aborted) {
      if (!isRegistered) await register()
      const listed = await directory.list()
      // The response to the registration may have been lost.
      isRegistered ||= isSameAddress(listed?.get(router), address)
      if (listed) {
        isListed = true
        onListed(listed)
      }
      if (isRegistered && listed) {
        retryMs = DIRECTORY_RETRY_MS
        await pauseBetweenListings(listed.size)
      } else {
        await pause(retryMs)
        const maxMs = isListed ? DIRECTORY_POLL_MS : MAX_DIRECTORY_RETRY_MS
        retryMs = Math.min(2 * retryMs, maxMs)
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
