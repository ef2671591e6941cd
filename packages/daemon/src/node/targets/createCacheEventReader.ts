import { Agent } from 'node:http'
import {
  type CacheEvent,
  cacheEventSchema,
  createCacheLocationIndex,
} from '@auburnbay/core'
import { requestJson } from '@auburnbay/http-utils'
import { z } from 'zod'
import { LOAD_REPORT_TIMEOUT_MS } from '../constants.js'
import { createTargetPoller, type PolledTargets } from './createTargetPoller.js'
import type { TargetAddress } from './targetClient.js'

/** Tracks which target has a chat cached, from the engines' cache events. */
export interface CacheEventReader {
  /** Returns the target that has the chat with this key cached, if known. */
  cachedOn(key: string): string | undefined
  stop(): Promise<void>
}

/** Options for {@link createCacheEventReader}. */
export interface CacheEventReaderOptions {
  readonly targets: PolledTargets
  /** Milliseconds between two polls. */
  readonly intervalMs: number
  /** Maximum number of tracked chats. */
  readonly maxChats: number
  /** Returns the key under which a chat is stored. */
  readonly keyOf: (chat: string) => string
  /**
   * HTTP agent of the polls. @default a new agent that keeps connections alive
   */
  readonly agent?: Agent
}

const responseSchema = z.object({ events: z.array(cacheEventSchema) })

/** Starts polling the cache events of the targets that `targets` returns. */
export function createCacheEventReader(
  options: CacheEventReaderOptions,
): CacheEventReader {
  const { targets, intervalMs, maxChats, keyOf } = options
  const { agent = new Agent({ keepAlive: true }) } = options
  const index = createCacheLocationIndex(maxChats)

  function withChatKey(event: CacheEvent): CacheEvent {
    return { ...event, chat: keyOf(event.chat) }
  }

  async function poll(target: TargetAddress): Promise<void> {
    const from = index.nextSequence(target.id)
    const result = await requestJson({
      method: 'GET',
      url: `http://${target.address}/cache-events?from=${from}`,
      timeoutMs: LOAD_REPORT_TIMEOUT_MS,
      agent,
    })
    const parsed = responseSchema.safeParse(result.isOk() && result.value.body)
    if (parsed.success)
      index.apply(target.id, parsed.data.events.map(withChatKey))
  }

  const poller = createTargetPoller({ targets, intervalMs, poll })
  return {
    cachedOn: (key) => index.cachedOn(key),
    stop: async () => {
      await poller.stop()
      agent.destroy()
    },
  }
}
