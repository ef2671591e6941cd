import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createFleetLoad } from '../createFleetLoad.js'
import { NO_LOAD, type TargetLoad } from '../targetLoad.js'

const STALE_MS = 1_000
const TARGETS = ['a', 'b', 'c']
const loadByTarget = fc
  .array(fc.tuple(fc.constantFrom(...TARGETS), fc.integer({ min: 1, max: 9 })))
  .map(
    (entries) =>
      new Map(
        entries.map(([id, requests]): [string, TargetLoad] => [
          id,
          { requests, pendingPromptTokens: requests * 100 },
        ]),
      ),
  )
const report = fc.record({
  router: fc.constantFrom('r1', 'r2', 'r3'),
  afterMs: fc.nat(700),
  loadByTarget,
})

describe('createFleetLoad', () => {
  it('sums the last report of each router that is not stale', () => {
    fc.assert(
      fc.property(fc.array(report, { maxLength: 30 }), (reports) => {
        const load = createFleetLoad(() => STALE_MS)
        const last = new Map<
          string,
          { loadByTarget: ReadonlyMap<string, TargetLoad>; atMs: number }
        >()
        let nowMs = 0
        for (const { router, afterMs, loadByTarget } of reports) {
          nowMs += afterMs
          load.updatePeer(router, loadByTarget, nowMs)
          last.set(router, { loadByTarget, atMs: nowMs })
          for (const id of TARGETS) {
            let requests = 0
            let pendingPromptTokens = 0
            for (const { loadByTarget: reported, atMs } of last.values()) {
              if (nowMs - atMs > STALE_MS) continue
              const peerLoad = reported.get(id) ?? NO_LOAD
              requests += peerLoad.requests
              pendingPromptTokens += peerLoad.pendingPromptTokens
            }
            const total = load.total(id, nowMs)
            assert.deepEqual(total, { requests, pendingPromptTokens })
          }
        }
      }),
      { seed: 22 },
    )
  })

  it('adds the requests of this router', () => {
    const load = createFleetLoad(() => STALE_MS)
    load.updatePeer(
      'r1',
      new Map([['a', { requests: 2, pendingPromptTokens: 50 }]]),
      0,
    )
    load.recordStart('a', 70)
    load.releasePromptTokens('a', 70)
    assert.deepEqual(load.total('a', 10), {
      requests: 3,
      pendingPromptTokens: 50,
    })
    load.recordEnd('a')
    assert.deepEqual(load.total('a', 20), {
      requests: 2,
      pendingPromptTokens: 50,
    })
  })
})
