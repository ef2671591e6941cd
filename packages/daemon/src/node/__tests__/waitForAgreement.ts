import { TARGET_HEADER } from '@auburnbay/core'
import { callChat } from './callApi.js'
import { eventually, type Fleet } from './startFleet.js'

/** Chats that are compared; routers may agree on a single one by chance. */
const CHATS = ['agreement-1', 'agreement-2', 'agreement-3', 'agreement-4']

/**
 * Waits until all routers of a fleet send each of some chats to the same
 * target. Until they have found a common coordinator, each chooses within its
 * own share.
 */
export function waitForAgreement(fleet: Fleet): Promise<void> {
  const targetOf = async (router: number, chat: string): Promise<unknown> => {
    const url = fleet.callerUrl(router)
    const { headers } = await callChat(url, fleet.callerKey, chat)
    return headers[TARGET_HEADER]
  }
  return eventually(async () => {
    for (const chat of CHATS) {
      const targets = new Set<unknown>()
      for (const router of fleet.routers.keys())
        targets.add(await targetOf(router, chat))
      if (targets.size !== 1 || targets.has(undefined)) return false
    }
    return true
  })
}
