import { z } from 'zod'

/** What happened to a chat in a target's prompt cache. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
}

/** Schema of a {@link CacheEvent}. */
export const cacheEventSchema = z.object({
  /** Increases by one; a jump means that events were lost. */
  sequence: z.int().min(0),
  kind: z.enum(CacheEventKind),
  chat: z.string(),
})

/** One event of a target's prompt cache. */
export type CacheEvent = z.infer<typeof cacheEventSchema>
