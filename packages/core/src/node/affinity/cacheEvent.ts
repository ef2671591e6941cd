import { z } from 'zod'

/** What happened to a chat in a target's prompt cache. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
}

/** Checks one event of a target's prompt cache. */
export const cacheEventSchema = z.object({
  /** Counts up by one; a jump is a gap. */
  sequence: z.int().min(0),
  kind: z.enum(CacheEventKind),
  chat: z.string(),
})

/** One event of a target's prompt cache. */
export type CacheEvent = z.infer<typeof cacheEventSchema>
