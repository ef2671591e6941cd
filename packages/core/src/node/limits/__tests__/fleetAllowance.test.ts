import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createFleetShares } from '../createFleetShares.js'
import { fleetAllowance } from '../fleetAllowance.js'

const STALE_MS = 750
const HOLD_MS = 60_000
const routersOf = (count: number) =>
  Array.from({ length: count }, (_, index) => `router-${index}`)

function allowanceOf(
  limit: number,
  routers: readonly string[],
  self: string,
  view: (router: string) => { used: number; ageMs: number },
): number {
  const others = routers.filter((router) => router !== self)
  return fleetAllowance({
    limit,
    key: 'customer',
    router: self,
    peers: others.map((router) => ({ router, ...view(router) })),
    staleMs: STALE_MS,
    holdMs: HOLD_MS,
  })
}

describe('createFleetShares', () => {
  it('creates shares that add up to the limit and differ by at most one', () => {
    const property = fc.property(
      fc.nat(200),
      fc.integer({ min: 1, max: 40 }),
      fc.string(),
      (limit, count, key) => {
        const routers = routersOf(count)
        const shares = routers.map(createFleetShares(limit, key, routers))
        assert.equal(
          shares.reduce((sum, share) => sum + share, 0),
          limit,
        )
        assert.ok(Math.max(...shares) - Math.min(...shares) <= 1)
      },
    )
    fc.assert(property, { seed: 51 })
  })

  it('returns 0 for a router that is not in the list', () => {
    assert.equal(createFleetShares(10, 'key', ['a', 'b'])('unlisted'), 0)
  })
})

describe('fleetAllowance', () => {
  it('is the part of the limit that fresh peers do not use', () => {
    const allowance = allowanceOf(10, routersOf(3), 'router-0', () => ({
      used: 3,
      ageMs: 100,
    }))
    assert.equal(allowance, 4)
  })

  it('adds up to the limit if no router receives digests', () => {
    const property = fc.property(
      fc.nat(60),
      fc.integer({ min: 1, max: 12 }),
      (limit, count) => {
        const routers = routersOf(count)
        let sum = 0
        for (const self of routers)
          sum += allowanceOf(limit, routers, self, () => ({
            used: 0,
            ageMs: Infinity,
          }))
        assert.equal(sum, limit)
      },
    )
    fc.assert(property, { seed: 52 })
  })

  it('keeps the fleet within the limit if digests stop while requests run', () => {
    const property = fc.property(
      fc.integer({ min: 1, max: 40 }),
      fc.array(fc.nat(6), { minLength: 2, maxLength: 9 }),
      (limit, wanted) => {
        const routers = routersOf(wanted.length)
        let total = 0
        const used = wanted.map((want) => {
          const got = Math.min(want, limit - total)
          total += got
          return got
        })
        const usedOf = (router: string) => used[routers.indexOf(router)] ?? 0
        let after = 0
        for (const [index, self] of routers.entries()) {
          const allowance = allowanceOf(limit, routers, self, (router) => ({
            used: usedOf(router),
            ageMs: STALE_MS + 1,
          }))
          after += Math.max(used[index] ?? 0, allowance)
        }
        assert.ok(after <= limit)
      },
    )
    fc.assert(property, { seed: 53 })
  })

  it('keeps both halves of a partitioned fleet within the limit', () => {
    const routers = routersOf(6)
    const inHalf = (router: string, half: number) =>
      routers.indexOf(router) % 2 === half
    let sum = 0
    for (const half of [0, 1]) {
      // Peers in the same half report no use; the other half sends no digests.
      const self = routers.find((router) => inHalf(router, half)) ?? ''
      sum += allowanceOf(13, routers, self, (router) => ({
        used: 0,
        ageMs: inHalf(router, half) ? 100 : Infinity,
      }))
    }
    assert.equal(sum, 13)
  })

  it('divides a limit in proportion to the requests at each router', () => {
    const property = fc.property(
      fc.nat(60),
      fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1, maxLength: 9 }),
      (limit, received) => {
        const total = received.reduce((sum, count) => sum + count, 0)
        for (const [index, own] of received.entries()) {
          const allowance = fleetAllowance({
            limit,
            key: 'customer',
            router: `router-${index}`,
            received: own,
            peers: received
              .map((count, peer) => ({
                router: `router-${peer}`,
                used: 0,
                received: count,
                ageMs: 0,
              }))
              .filter((_peer, peer) => peer !== index),
            staleMs: STALE_MS,
            holdMs: HOLD_MS,
          })
          // At or below the limit no request is rejected. Above it, each part
          // is rounded up.
          if (total <= limit) assert.ok(allowance >= own)
          else assert.ok(allowance < (limit * own) / total + 1)
        }
      },
    )
    fc.assert(property, { seed: 56 })
  })
})
