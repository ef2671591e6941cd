import type { StandIn } from '../server/standIn.js'
import type { CacheEvents } from './cacheEvents.js'
import type { EngineFaults } from './engineFaults.js'
import type { EngineRun } from './engineRun.js'
import type { EngineOrderOptions, EngineOrders } from './orders.js'

/** How an engine's stand-in behaves. */
export interface EngineOptions {
  /** Chats the prompt cache holds. @default 64 */
  readonly cacheChats?: number
  /** Milliseconds between two words. @default 0 */
  readonly wordDelayMs?: number
  /** Whether cache events are published. @default false */
  readonly publishesCacheEvents?: boolean
  /** Words of an answer. @default 12 */
  readonly words?: number
  /** How it takes orders. */
  readonly orders?: EngineOrderOptions
}

/** A model engine's stand-in. */
export interface EngineStandIn extends StandIn {
  readonly faults: EngineFaults
  readonly cacheEvents: CacheEvents
  /** Switches on top of `faults` for the next requests, one entry each. */
  readonly queuedFaults: Partial<EngineFaults>[]
  /** What truly ran, in order. */
  readonly runs: readonly EngineRun[]
  readonly options: Required<Omit<EngineOptions, 'orders'>>
  readonly orders: EngineOrders
}
