import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { outageRetryMs, RETRY_MS } from '../outageRetryMs.js'

/** Polls a second that the store takes from a fleet of 195 routers for each of two topics, in an outage of all. */
const MAX_POLLS_PER_S = 30

/** Returns the polls a second of a whole fleet. */
function fleetPollsPerS(routers: number, hasReader: boolean): number {
  let polls = 0
  for (let i = 0; i < routers; i += 1)
    polls +=
      1_000 /
      outageRetryMs({
        hasReader,
        isCovered: hasReader,
        hasEarlierPeer: i > 0,
        routers,
      })
  return polls
}

describe('outageRetryMs', () => {
  it('lets the first router try as often as it may', () => {
    const first = {
      hasReader: false,
      isCovered: false,
      hasEarlierPeer: false,
      routers: 195,
    }
    assert.equal(outageRetryMs(first), RETRY_MS)
  })

  it('lets a router ask soon to which nothing arrives of what a peer reads', () => {
    const member = {
      hasReader: true,
      isCovered: false,
      hasEarlierPeer: true,
      routers: 195,
    }
    assert.equal(outageRetryMs(member), RETRY_MS)
  })

  it('keeps the polls of a fleet to some tens a second, at any size', () => {
    for (const routers of [2, 9, 60, 195, 300, 2_649])
      assert.ok(fleetPollsPerS(routers, false) <= MAX_POLLS_PER_S)
  })

  it('lets routers that the log refuses ask seldom while a peer reads it', () => {
    // 7 routers polled each second for each of two topics before.
    assert.ok(fleetPollsPerS(7, true) < 2)
  })

  it('finds a router that the log serves within a second if every fifth is served', () => {
    assert.ok(fleetPollsPerS(195, false) / 5 > 1)
  })
})
