import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { chooseTarget, loadBound } from '../chooseTarget.js'
import { rendezvousOrder } from '../rendezvousOrder.js'

const targetsArbitrary = fc.uniqueArray(
  fc.record({
    id: fc.string({ minLength: 1 }),
    weight: fc.constantFrom(1, 2),
    load: fc.nat(40),
  }),
  { minLength: 1, maxLength: 20, selector: (target) => target.id },
)

describe('chooseTarget', () => {
  it('always finds a target within the bound', () => {
    const property = fc.property(
      fc.string(),
      targetsArbitrary,
      (key, targets) => {
        const chosen = chooseTarget(key, targets, 1.25)
        assert.ok(chosen)
        assert.ok(chosen.load + 1 <= loadBound(targets, 1.25))
      },
    )
    fc.assert(property, { seed: 2 })
  })

  it('keeps the order of the others when a target leaves', () => {
    const property = fc.property(
      fc.string(),
      targetsArbitrary,
      (key, targets) => {
        const [first, ...others] = rendezvousOrder(key, targets)
        const without = targets.filter((target) => target !== first)
        assert.deepEqual(rendezvousOrder(key, without), others)
      },
    )
    fc.assert(property, { seed: 3 })
  })
})
