import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createCacheLocations } from '../createCacheLocations.js'

describe('createCacheLocations', () => {
  it('reports what this router added, once, and not what it merged', () => {
    const locations = createCacheLocations(10)
    locations.add('a', 't1')
    locations.merge([['b', 't2']])
    assert.deepEqual(locations.takeUpdates(), [['a', 't1']])
    assert.deepEqual(locations.takeUpdates(), [])
    assert.deepEqual(locations.cachedOn('b'), ['t2'])
  })

  it('returns the latest targets of a prompt first', () => {
    const locations = createCacheLocations(10)
    for (const id of ['t1', 't2', 't1', 't3', 't4']) locations.add('a', id)
    assert.deepEqual(locations.cachedOn('a'), ['t4', 't3', 't1'])
    assert.deepEqual(locations.all(), [
      ['a', 't1'],
      ['a', 't3'],
      ['a', 't4'],
    ])
  })

  it('removes a target that did not run the request', () => {
    const locations = createCacheLocations(10)
    locations.add('a', 't1')
    locations.add('a', 't2')
    locations.remove('a', 't2')
    assert.deepEqual(locations.cachedOn('a'), ['t1'])
    assert.deepEqual(locations.takeUpdates(), [])
    locations.remove('a', 't1')
    assert.deepEqual(locations.cachedOn('a'), [])
  })

  it('evicts the least recently used prompts', () => {
    const locations = createCacheLocations(2)
    for (const key of ['a', 'b', 'c']) locations.add(key, 't')
    assert.deepEqual(locations.cachedOn('a'), [])
    assert.deepEqual(locations.cachedOn('c'), ['t'])
  })
})
