import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createConfigurationKeeper } from '../createConfigurationKeeper.js'
import { testConfiguration } from './testConfiguration.js'

describe('createConfigurationKeeper', () => {
  it('never goes back, in whatever order versions come', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(20)), (versions) => {
        const keeper = createConfigurationKeeper()
        let highest = 0
        for (const version of versions) {
          keeper.offer(testConfiguration(version))
          highest = Math.max(highest, version)
          assert.equal(keeper.version, highest)
        }
      }),
      { seed: 3 },
    )
  })

  it('finds a customer by each of its keys and none by a dropped one', () => {
    const keeper = createConfigurationKeeper()
    const customers = [{ name: 'c', keys: ['k1', 'k2'] }]
    const nameOf = (key: string) =>
      keeper.current?.customerOfKey?.get(key)?.name
    keeper.offer(testConfiguration(1, { customers }))
    assert.equal(nameOf('k2'), 'c')
    const fewer = [{ name: 'c', keys: ['k1'] }]
    keeper.offer(testConfiguration(2, { customers: fewer }))
    assert.equal(nameOf('k1'), 'c')
    assert.equal(nameOf('k2'), undefined)
  })
})
