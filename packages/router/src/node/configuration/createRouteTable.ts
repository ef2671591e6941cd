import type { Route } from './route.js'

/** Looks up routes by host and path. */
export interface RouteTable {
  /** Returns the route of `host` with the longest prefix of `path`. */
  find(host: string, path: string): Route | undefined
}

/** Indexes routes by host and prefix. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Map<string, Route>>()
  for (const route of routes) {
    const host = route.host.toLowerCase()
    const prefixes = byHost.get(host) ?? new Map<string, Route>()
    byHost.set(host, prefixes.set(route.pathPrefix, route))
  }
  return {
    find(host, path) {
      const prefixes = byHost.get(host)
      if (!prefixes) return undefined
      // Every prefix ends with a slash, so only these substrings can match.
      let end = path.lastIndexOf('/')
      while (end >= 0) {
        const route = prefixes.get(path.slice(0, end + 1))
        if (route) return route
        if (end === 0) return undefined
        end = path.lastIndexOf('/', end - 1)
      }
      return undefined
    },
  }
}
