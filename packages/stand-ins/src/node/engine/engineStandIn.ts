import type { StandIn } from '../server/standIn.js'
import type { CacheEvents } from './createCacheEvents.js'
import type { EngineFaults } from './engineFaults.js'
import type { EngineRun } from './engineRun.js'
import type { EngineOrderOptions, EngineOrders } from './createEngineOrders.js'

/** Options of an engine stand-in. */
export interface EngineOptions {
  /** Chats that the prompt cache holds. @default 64 */
  readonly cacheChats?: number
  /** Delay before each word, in milliseconds. @default 0 */
  readonly wordDelayMs?: number
  /** Whether cache events are published. @default false */
  readonly publishesCacheEvents?: boolean
  /** Words of a response. @default 12 */
  readonly words?: number
  /** How orders are applied. */
  readonly orders?: EngineOrderOptions
}

/** Stand-in for a model engine. */
export interface EngineStandIn extends StandIn {
  readonly faults: EngineFaults
  readonly cacheEvents: CacheEvents
  /** Faults that override `faults` for the next requests, one entry per request. */
  readonly queuedFaults: Partial<EngineFaults>[]
  /** All runs, in order of their start. */
  readonly runs: readonly EngineRun[]
  readonly options: Required<Omit<EngineOptions, 'orders'>>
  readonly orders: EngineOrders
}
