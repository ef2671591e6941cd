import { setTimeout as sleep } from 'node:timers/promises'
import {
  DIRECTORY_POLL_MS,
  DIRECTORY_RETRY_MS,
  DIGEST_FANOUT,
} from '../constants.js'
import type { RouterDirectory } from '../routerPorts.js'
import type { PeerAddress } from './peerAddress.js'

/** What joining works with. */
export interface JoinDirectoryOptions {
  readonly directory: RouterDirectory
  readonly router: string
  readonly address: PeerAddress
  readonly onListed: (router: string, address: PeerAddress) => void
}

function isSame(one: PeerAddress | undefined, other: PeerAddress): boolean {
  return one?.host === other.host && one.port === other.port
}

/** Keeps the calls of all routers within a few a second, however many they are. */
function readAgainMs(routers: number): number {
  return DIRECTORY_POLL_MS * Math.max(1, routers / DIGEST_FANOUT)
}

/** Enters a router in the list of routers, then reads the list now and then. */
export function joinDirectory(options: JoinDirectoryOptions): {
  leave(): void
} {
  const { directory, router, address, onListed } = options
  const leaving = new AbortController()
  const { signal } = leaving

  function pause(ms: number): Promise<void> {
    return sleep(ms, undefined, { signal, ref: false }).catch(() => undefined)
  }

  async function run(): Promise<void> {
    let isEntered = false
    while (!signal.aborted) {
      isEntered ||= await directory.register(router, address)
      const listed = await directory.list()
      // The answer to the entry may have been lost.
      isEntered ||= isSame(listed?.get(router), address)
      for (const [name, peer] of listed ?? [])
        if (name !== router) onListed(name, peer)
      await pause(
        isEntered && listed ? readAgainMs(listed.size) : DIRECTORY_RETRY_MS,
      )
    }
  }

  void run()
  return {
    leave() {
      leaving.abort()
    },
  }
}
