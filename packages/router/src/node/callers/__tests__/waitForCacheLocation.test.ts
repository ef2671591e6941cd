import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { testRoute } from '../../configuration/__tests__/testConfiguration.js'
import { waitForCacheLocation } from '../waitForCacheLocation.js'
import { testCall } from './testCall.js'

/** Counts the checks of a waiting call; its prompt is located after `checks` of them. */
async function countChecks(
  checks: number,
  { recoveryMs = 250, targetLatencyMs = 400, aborted = false } = {},
): Promise<number> {
  const call = testCall({
    route: testRoute({ targetLatencyMs, cachesPrompts: true }),
    ...(aborted && { signal: AbortSignal.abort() }),
  })
  let seen = 0
  await waitForCacheLocation(call, {
    isLocated: () => {
      seen += 1
      return seen > checks
    },
    recoveryMs: () => recoveryMs,
  })
  return seen
}

describe('waitForCacheLocation', () => {
  it('ends as soon as the location is known', async () => {
    assert.equal(await countChecks(3), 4)
  })

  it('ends after a quarter of the target latency', async () => {
    assert.equal(await countChecks(Infinity, { targetLatencyMs: 400 }), 10)
  })

  it('ends with the recovery', async () => {
    assert.equal(await countChecks(Infinity, { recoveryMs: 50 }), 5)
    assert.equal(await countChecks(Infinity, { recoveryMs: 0 }), 0)
  })

  it('ends when the caller has disconnected', async () => {
    assert.ok((await countChecks(Infinity, { aborted: true })) <= 1)
  })
})
