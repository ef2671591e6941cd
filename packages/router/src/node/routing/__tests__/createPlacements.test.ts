import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createPlacements } from '../createPlacements.js'

describe('createPlacements', () => {
  it('tells what this router placed, once, and not what it heard', () => {
    const placements = createPlacements(10)
    placements.placed('a', 't1')
    placements.heard([['b', 't2']])
    assert.deepEqual(placements.takeNews(), [['a', 't1']])
    assert.deepEqual(placements.takeNews(), [])
    assert.deepEqual(placements.holders('b'), ['t2'])
  })

  it('keeps the latest holders of a prompt in front', () => {
    const placements = createPlacements(10)
    for (const id of ['t1', 't2', 't1', 't3', 't4']) placements.placed('a', id)
    assert.deepEqual(placements.holders('a'), ['t4', 't3', 't1'])
    assert.deepEqual(placements.all(), [['a', 't4']])
  })

  it('forgets a target that did not get a prompt', () => {
    const placements = createPlacements(10)
    placements.placed('a', 't1')
    placements.placed('a', 't2')
    placements.lost('a', 't2')
    assert.deepEqual(placements.holders('a'), ['t1'])
    assert.deepEqual(placements.takeNews(), [])
    placements.lost('a', 't1')
    assert.deepEqual(placements.holders('a'), [])
  })

  it('forgets the prompts that were not used for longest', () => {
    const placements = createPlacements(2)
    for (const key of ['a', 'b', 'c']) placements.placed(key, 't')
    assert.deepEqual(placements.holders('a'), [])
    assert.deepEqual(placements.holders('c'), ['t'])
  })
})
