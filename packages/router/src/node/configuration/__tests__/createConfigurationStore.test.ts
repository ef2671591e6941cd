import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createConfigurationStore } from '../createConfigurationStore.js'
import { testConfiguration } from './testConfiguration.js'

describe('createConfigurationStore', () => {
  it('keeps the highest version, in whatever order versions arrive', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(20)), (versions) => {
        const store = createConfigurationStore()
        let highest = 0
        for (const version of versions) {
          store.applyIfNewer(testConfiguration(version))
          highest = Math.max(highest, version)
          assert.equal(store.version, highest)
        }
      }),
      { seed: 3 },
    )
  })

  it('finds a customer by each of its keys but not by a removed one', () => {
    const store = createConfigurationStore()
    const customers = [{ name: 'c', keys: ['k1', 'k2'] }]
    const nameOf = (key: string) =>
      store.current?.customersByKey?.get(key)?.name
    store.applyIfNewer(testConfiguration(1, { customers }))
    assert.equal(nameOf('k2'), 'c')
    const fewer = [{ name: 'c', keys: ['k1'] }]
    store.applyIfNewer(testConfiguration(2, { customers: fewer }))
    assert.equal(nameOf('k1'), 'c')
    assert.equal(nameOf('k2'), undefined)
  })
})
