import { RequestKind } from '../requestKind.js'
import type { Route } from '../route.js'
import type { RouterConfiguration } from '../routerConfiguration.js'

/** Creates a route with defaults for the missing fields. */
export function testRoute(fields: Partial<Route> = {}): Route {
  return {
    name: 'route',
    host: 'a.example',
    pathPrefix: '/',
    kind: RequestKind.Idempotent,
    services: [{ service: 'service', weight: 1 }],
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    priority: 1,
    maxAttempts: 2,
    anonymous: true,
    cachesPrompts: false,
    resumable: false,
    ...fields,
  }
}

/** Creates a configuration with defaults for the missing fields. */
export function testConfiguration(
  version: number,
  fields: Partial<RouterConfiguration> = {},
): RouterConfiguration {
  return {
    version,
    routes: [testRoute()],
    services: [
      {
        name: 'service',
        sharesCache: false,
      },
    ],
    limits: {
      maxBodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    },
    ...fields,
  }
}
