import type { CallerLimits } from './callerLimits.js'
import type { Customer } from './customer.js'
import type { Route } from './route.js'
import type { Service } from './service.js'

/** One version of the operator's configuration. */
export interface RouterConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  /** Undefined if requests need no key. */
  readonly customers?: readonly Customer[]
  readonly limits: CallerLimits
}
