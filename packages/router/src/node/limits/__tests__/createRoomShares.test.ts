import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { Target } from '../../targets/target.js'
import { createRoomShares } from '../createRoomShares.js'

function targetWith(slots: number): Target {
  return {
    id: 'i-1',
    service: 's',
    host: '10.0.0.1',
    port: 1,
    slots,
    softwareVersion: '',
    draining: false,
  }
}

function sharesOf(routers: readonly string[], slots: number): number[] {
  return routers.map((router, i) =>
    createRoomShares({
      router,
      // Each router lists itself first.
      routers: () => [router, ...routers.toSpliced(i, 1)],
      now: () => 0,
    }).share(targetWith(slots)),
  )
}

describe('shares of the slots of a target', () => {
  it('sum up to its slots, however many routers there are', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 70 }),
        fc.integer({ min: 1, max: 130 }),
        (count, slots) => {
          const routers = Array.from({ length: count }, (_, i) => `router-${i}`)
          const shares = sharesOf(routers, slots)
          const sum = shares.reduce((total, share) => total + share, 0)
          assert.equal(sum, slots)
        },
      ),
      { seed: 30 },
    )
  })

  it('are none while the routers of the fleet are unknown', () => {
    const shares = createRoomShares({
      router: 'router-1',
      routers: () => undefined,
      now: () => 0,
    })
    assert.equal(shares.share(targetWith(4)), 0)
  })
})
