import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createCacheLocations } from '../createCacheLocations.js'

describe('createPlacements', () => {
  it('tells what this router placed, once, and not what it heard', () => {
    const placements = createCacheLocations(10)
    placements.add('a', 't1')
    placements.merge([['b', 't2']])
    assert.deepEqual(placements.takeUpdates(), [['a', 't1']])
    assert.deepEqual(placements.takeUpdates(), [])
    assert.deepEqual(placements.cachedOn('b'), ['t2'])
  })

  it('keeps the latest holders of a prompt in front', () => {
    const placements = createCacheLocations(10)
    for (const id of ['t1', 't2', 't1', 't3', 't4']) placements.add('a', id)
    assert.deepEqual(placements.cachedOn('a'), ['t4', 't3', 't1'])
    assert.deepEqual(placements.all(), [['a', 't4']])
  })

  it('forgets a target that did not get a prompt', () => {
    const placements = createCacheLocations(10)
    placements.add('a', 't1')
    placements.add('a', 't2')
    placements.remove('a', 't2')
    assert.deepEqual(placements.cachedOn('a'), ['t1'])
    assert.deepEqual(placements.takeUpdates(), [])
    placements.remove('a', 't1')
    assert.deepEqual(placements.cachedOn('a'), [])
  })

  it('forgets the prompts that were not used for longest', () => {
    const placements = createCacheLocations(2)
    for (const key of ['a', 'b', 'c']) placements.add(key, 't')
    assert.deepEqual(placements.cachedOn('a'), [])
    assert.deepEqual(placements.cachedOn('c'), ['t'])
  })
})
