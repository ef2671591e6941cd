import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createFleetSize } from '../createFleetSize.js'

const MEMORY_MS = 1_000

describe('createFleetSize', () => {
  it('knows no count before the directory was listed, whichever peers have sent digests', () => {
    const size = createFleetSize('r1', MEMORY_MS)
    size.recordSeen('r2', 0)
    assert.equal(size.count(0), undefined)
    size.recordListed(['r1', 'r2', 'r3'], 0)
    assert.equal(size.count(0), 3)
  })

  it('counts peers behind a partition as long as they are remembered', () => {
    const size = createFleetSize('r1', MEMORY_MS)
    size.recordListed(['r1', 'r2', 'r3'], 0)
    size.recordSeen('r2', 500)
    assert.equal(size.count(1_000), 3)
    assert.equal(size.count(1_001), 2)
    assert.equal(size.count(1_501), 1)
  })

  it('does not count a router again that left but stays in the directory', () => {
    const size = createFleetSize('r1', MEMORY_MS)
    size.recordListed(['r1', 'r2'], 0)
    size.recordListed(['r1', 'r2'], 2_000)
    assert.equal(size.count(2_000), 1)
    size.recordSeen('r2', 2_100)
    assert.equal(size.count(2_100), 2)
  })

  it('counts a router that is not in the directory yet', () => {
    const size = createFleetSize('r1', MEMORY_MS)
    size.recordListed(['r1'], 0)
    size.recordSeen('r2', 10)
    assert.equal(size.count(10), 2)
  })
})
