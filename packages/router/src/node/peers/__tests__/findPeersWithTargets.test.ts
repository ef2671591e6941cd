import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { findPeersWithTargets } from '../findPeersWithTargets.js'
import { testDigest } from './testDigest.js'

const NOW_MS = 10_000

function isFound(
  changes: Parameters<typeof testDigest>[0],
  receivedAtMs = NOW_MS - 200,
): boolean {
  const peer = {
    router: 'router-2',
    address: { host: '10.0.0.2', port: 1 },
    receivedAtMs,
    sentAtMs: 0,
    digest: testDigest({ configurationVersion: 5, ...changes }),
  }
  return findPeersWithTargets([peer], 5, NOW_MS).length === 1
}

describe('findPeersWithTargets', () => {
  it('finds a peer that a target answered lately', () => {
    assert.equal(isFound({ targetResponseMs: 100 }), true)
  })

  it('leaves out a peer that reaches no target, or has not for seconds', () => {
    assert.equal(isFound({ targetResponseMs: null }), false)
    assert.equal(isFound({ targetResponseMs: 2_900 }), false)
    assert.equal(isFound({ targetResponseMs: 100 }, NOW_MS - 4_000), false)
  })

  it('leaves out a peer with an older configuration', () => {
    const older = { targetResponseMs: 100, configurationVersion: 4 }
    assert.equal(isFound(older), false)
  })
})
