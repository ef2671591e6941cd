import { Agent } from 'node:http'
import {
  type CacheEvent,
  cacheEventSchema,
  createHintIndex,
} from '@auburnbay/core'
import { requestJson } from '@auburnbay/http-utils'
import { z } from 'zod'
import { LOAD_REPORT_TIMEOUT_MS } from '../constants.js'
import { createTargetPoller, type PolledTargets } from './createTargetPoller.js'
import type { TargetAddress } from './targetClient.js'

/** Knows from cache events which target holds a chat. */
export interface CacheEventReader {
  /** Target that holds the chat with this key, as far as the events tell. */
  targetOf(key: string): string | undefined
  stop(): Promise<void>
}

/** What a reader of cache events works with. */
export interface CacheEventReaderOptions {
  readonly targets: PolledTargets
  /** Milliseconds between two polls. */
  readonly intervalMs: number
  readonly maxChats: number
  /** Key under which a chat is looked up. */
  readonly keyOf: (chat: string) => string
  /** Agent of the calls. @default a new one */
  readonly agent?: Agent
}

const replySchema = z.object({ events: z.array(cacheEventSchema) })

/** Starts polling the cache events of the targets that `targets` names. */
export function createCacheEventReader(
  options: CacheEventReaderOptions,
): CacheEventReader {
  const { targets, intervalMs: everyMs, maxChats, keyOf } = options
  const { agent = new Agent({ keepAlive: true }) } = options
  const index = createHintIndex(maxChats)

  function keyed(event: CacheEvent): CacheEvent {
    return { ...event, chat: keyOf(event.chat) }
  }

  async function poll(target: TargetAddress): Promise<void> {
    const from = index.nextSequence(target.id)
    const reply = await requestJson({
      method: 'GET',
      url: `http://${target.address}/cache-events?from=${from}`,
      timeoutMs: LOAD_REPORT_TIMEOUT_MS,
      agent,
    })
    const parsed = replySchema.safeParse(reply.isOk() && reply.value.body)
    if (parsed.success) index.apply(target.id, parsed.data.events.map(keyed))
  }

  const polling = createTargetPoller({ targets, intervalMs: everyMs, poll })
  return {
    targetOf: (key) => index.targetOf(key),
    stop: async () => {
      await polling.stop()
      agent.destroy()
    },
  }
}
