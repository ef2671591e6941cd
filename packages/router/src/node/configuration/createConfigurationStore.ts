import { createRouteTable, type RouteTable } from './createRouteTable.js'
import type { Customer } from './customer.js'
import type { RouterConfiguration } from './routerConfiguration.js'
import type { Service } from './service.js'

/** A configuration and its lookup tables. */
export interface ActiveConfiguration {
  readonly configuration: RouterConfiguration
  readonly routes: RouteTable
  readonly services: ReadonlyMap<string, Service>
  /** Undefined if requests need no key. */
  readonly customersByKey?: ReadonlyMap<string, Customer>
}

/** Holds the configuration with the highest version so far. */
export interface ConfigurationStore {
  readonly current: ActiveConfiguration | undefined
  /** Version of the active configuration; 0 without one. */
  readonly version: number
  /** Activates a configuration if it is newer; returns whether it did. */
  applyIfNewer(configuration: RouterConfiguration): boolean
}

function indexCustomers(
  customers: readonly Customer[],
): ReadonlyMap<string, Customer> {
  const byKey = new Map<string, Customer>()
  for (const customer of customers)
    for (const key of customer.keys) byKey.set(key, customer)
  return byKey
}

/** Creates a store without a configuration. */
export function createConfigurationStore(): ConfigurationStore {
  let current: ActiveConfiguration | undefined

  const version = (): number => current?.configuration.version ?? 0

  return {
    get current() {
      return current
    },
    get version() {
      return version()
    },
    applyIfNewer(configuration) {
      if (current && configuration.version <= version()) return false
      const { customers, routes, services } = configuration
      current = {
        configuration,
        routes: createRouteTable(routes),
        services: new Map(services.map((service) => [service.name, service])),
        ...(customers && { customersByKey: indexCustomers(customers) }),
      }
      return true
    },
  }
}
