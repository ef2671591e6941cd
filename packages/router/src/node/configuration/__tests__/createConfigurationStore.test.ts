import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createConfigurationStore } from '../createConfigurationStore.js'
import { testConfiguration } from './testConfiguration.js'

describe('createConfigurationKeeper', () => {
  it('never goes back, in whatever order versions come', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(20)), (versions) => {
        const keeper = createConfigurationStore()
        let highest = 0
        for (const version of versions) {
          keeper.applyIfNewer(testConfiguration(version))
          highest = Math.max(highest, version)
          assert.equal(keeper.version, highest)
        }
      }),
      { seed: 3 },
    )
  })

  it('finds a customer by each of its keys and none by a dropped one', () => {
    const keeper = createConfigurationStore()
    const customers = [{ name: 'c', keys: ['k1', 'k2'] }]
    const nameOf = (key: string) =>
      keeper.current?.customersByKey?.get(key)?.name
    keeper.applyIfNewer(testConfiguration(1, { customers }))
    assert.equal(nameOf('k2'), 'c')
    const fewer = [{ name: 'c', keys: ['k1'] }]
    keeper.applyIfNewer(testConfiguration(2, { customers: fewer }))
    assert.equal(nameOf('k1'), 'c')
    assert.equal(nameOf('k2'), undefined)
  })
})
