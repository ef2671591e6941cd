// A configuration of the operator, as in the pages' small deployments.
import { HOST } from './client.mjs'

/** Returns a route; `fields` replaces the defaults. */
export function route(name, prefix, service, fields = {}) {
  return {
    name,
    host: HOST,
    'path-prefix': prefix,
    'route-kind': 'idempotent',
    'timeout-ms': 2_000,
    'target-latency-ms': 300,
    priority: 2,
    service,
    'max-attempts': 2,
    'anonymous-access': true,
    'session-affinity': false,
    'stream-resumption': false,
    ...fields,
  }
}

/** Returns a configuration with these routes. */
export function configuration(version, routes, fields = {}) {
  const names = new Set(routes.map(({ service }) => service))
  return {
    version,
    routes,
    services: [...names].map((name) => ({
      name,
      'health-path': '/health',
      'connection-limit': 620,
      protocol: 'h1',
      'upstream-tls': false,
    })),
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 4_194_304,
      'header-timeout-ms': 3_000,
      'idle-timeout-ms': 15_000,
    },
    ...fields,
  }
}
