import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createFleetLoad } from '../createFleetLoad.js'
import { NO_LOAD, type TargetLoad } from '../targetLoad.js'

const STALE_MS = 1_000
const TARGETS = ['a', 'b', 'c']
const work = fc
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
const heard = fc.record({
  router: fc.constantFrom('r1', 'r2', 'r3'),
  afterMs: fc.nat(700),
  work,
})

describe('the load of the fleet', () => {
  it('is what each router told last, as long as it is not stale', () => {
    fc.assert(
      fc.property(fc.array(heard, { maxLength: 30 }), (told) => {
        const load = createFleetLoad(() => STALE_MS)
        const last = new Map<
          string,
          { work: ReadonlyMap<string, TargetLoad>; atMs: number }
        >()
        let nowMs = 0
        for (const { router, afterMs, work: theirs } of told) {
          nowMs += afterMs
          load.updatePeer(router, theirs, nowMs)
          last.set(router, { work: theirs, atMs: nowMs })
          for (const id of TARGETS) {
            let requests = 0
            let pendingPromptTokens = 0
            for (const { work: known, atMs } of last.values()) {
              if (nowMs - atMs > STALE_MS) continue
              const one = known.get(id) ?? NO_LOAD
              requests += one.requests
              pendingPromptTokens += one.pendingPromptTokens
            }
            const total = load.total(id, nowMs)
            assert.deepEqual(total, {
              requests,
              pendingPromptTokens: pendingPromptTokens,
            })
          }
        }
      }),
      { seed: 22 },
    )
  })

  it('adds what this router has under way', () => {
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
