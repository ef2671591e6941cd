import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createRouteTable } from '../createRouteTable.js'
import type { Route } from '../route.js'
import { testRoute } from './testConfiguration.js'

function findByScan(
  routes: readonly Route[],
  host: string,
  path: string,
): Route | undefined {
  let best: Route | undefined
  for (const route of routes) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) continue
    if (!best || route.pathPrefix.length > best.pathPrefix.length) best = route
  }
  return best
}

const segment = fc.constantFrom('a', 'b', 'ab', '')
const path = fc
  .array(segment, { maxLength: 4 })
  .map((segments) => `/${segments.join('/')}`)

describe('createRouteTable', () => {
  it('finds the longest matching prefix, like a scan of all routes', () => {
    fc.assert(
      fc.property(
        fc.uniqueArray(fc.tuple(fc.constantFrom('x', 'y'), path), {
          maxLength: 8,
          selector: ([host, prefix]) => `${host} ${prefix}`,
        }),
        path,
        (prefixes, requestPath) => {
          const routes = prefixes.map(([host, prefix]) =>
            testRoute({
              host,
              pathPrefix: prefix.endsWith('/') ? prefix : `${prefix}/`,
              name: `${host}${prefix}`,
            }),
          )
          const distinct = [
            ...new Map(
              routes.map((route) => [
                `${route.host} ${route.pathPrefix}`,
                route,
              ]),
            ).values(),
          ]
          const expected = findByScan(distinct, 'x', requestPath)
          assert.equal(
            createRouteTable(distinct).find('x', requestPath),
            expected,
          )
        },
      ),
      { seed: 7, numRuns: 1_000 },
    )
  })

  it('does not match a path that lacks the trailing slash of the prefix', () => {
    const table = createRouteTable([testRoute({ pathPrefix: '/a/' })])
    assert.equal(table.find('a.example', '/a'), undefined)
  })
})
