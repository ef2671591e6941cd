import type { AdminRoute } from './adminRoute.js'

/** A route that matches a path, with the values of its parameters. */
export interface RouteMatch {
  readonly route: AdminRoute
  readonly params: Readonly<Record<string, string>>
}

function decode(part: string): string | undefined {
  try {
    return decodeURIComponent(part)
  } catch {
    return undefined
  }
}

function matchPath(
  pattern: string,
  path: string,
): Record<string, string> | undefined {
  const expected = pattern.split('/')
  const given = path.split('/')
  if (expected.length !== given.length) return undefined
  const params: Record<string, string> = {}
  for (const [index, name] of expected.entries()) {
    const value = decode(given[index] ?? '')
    if (value === undefined) return undefined
    if (name.startsWith(':')) params[name.slice(1)] = value
    else if (name !== value) return undefined
  }
  return params
}

/** Returns the routes of any method that match a path, fewest parameters first. */
export function matchRoutes(
  routes: readonly AdminRoute[],
  path: string,
): RouteMatch[] {
  const matches: RouteMatch[] = []
  for (const route of routes) {
    const params = matchPath(route.path, path)
    if (params) matches.push({ route, params })
  }
  const parameterCount = ({ params }: RouteMatch): number =>
    Object.keys(params).length
  return matches.sort((a, b) => parameterCount(a) - parameterCount(b))
}
