import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import {
  createSharedRecords,
  type SharedRecords,
} from '../../peers/createSharedRecords.js'
import { createHarmfulParts, type HarmfulParts } from '../createHarmfulParts.js'

const LIFETIME_MS = 60_000

/** A router that exchanges its records when the test says so. */
interface TestRouter {
  readonly records: SharedRecords
  readonly parts: HarmfulParts
}

function startRouters(count: number, now: () => number): TestRouter[] {
  return Array.from({ length: count }, (_, i) => {
    const records = createSharedRecords({
      origin: `router-${i}`,
      lifetimeMs: LIFETIME_MS,
      onUpdate: () => undefined,
      now,
    })
    const parts = createHarmfulParts({
      records,
      lifetimeMs: LIFETIME_MS,
      onFound: () => undefined,
      onCleared: () => undefined,
      log: { write: () => undefined },
      now,
    })
    return { records, parts }
  })
}

function exchange(routers: readonly TestRouter[]): void {
  for (const from of routers) {
    const updates = from.records.takeUpdates()
    for (const { records } of routers) records.merge(updates)
  }
}

describe('harmful parts', () => {
  let nowMs = 0
  let attempts = 0
  const now = (): number => nowMs

  function crash(
    { parts }: TestRouter,
    ids: readonly string[],
    attempt?: string,
  ): void {
    attempts += 1
    nowMs += 1_000
    parts.recordCrash(attempt ?? `attempt-${attempts}`, {
      target: `i-${attempts}`,
      sentAtMs: nowMs - 500,
      crashedAtMs: nowMs,
      parts: ids,
    })
  }

  it('are known to each router when every router has seen one crash', () => {
    const routers = startRouters(3, now)
    for (const router of routers) crash(router, ['a', 'bad'])
    exchange(routers)
    exchange(routers)
    for (const { parts } of routers)
      assert.equal(parts.find(['a', 'bad'])?.part, 'a')
  })

  it('do not stop requests that share only their other parts', () => {
    const [router] = startRouters(1, now)
    assert.ok(router)
    for (let i = 0; i < 5; i += 1) crash(router, ['a', 'bad'])
    assert.equal(router.parts.find(['a', 'other']), undefined)
    router.parts.recordAnswered(['a', 'other'])
    assert.equal(router.parts.find(['a', 'bad'])?.part, 'bad')
  })

  it('are found whatever else their requests have', () => {
    const [router] = startRouters(1, now)
    assert.ok(router)
    for (const other of ['a', 'b', 'c']) crash(router, [other, 'bad'])
    assert.equal(router.parts.find(['d', 'bad'])?.part, 'bad')
  })

  it('are found when one request has crashed all three targets', () => {
    const [router] = startRouters(1, now)
    assert.ok(router)
    for (let i = 0; i < 3; i += 1) crash(router, ['bad'], 'attempt')
    assert.equal(router.parts.find(['bad'])?.part, 'bad')
  })

  it('are forgotten after their lifetime', () => {
    const [router] = startRouters(1, now)
    assert.ok(router)
    for (const other of ['a', 'b', 'c']) crash(router, [other, 'bad'])
    const found = router.parts.find(['bad'])
    assert.ok(found)
    assert.equal(router.parts.remainingS(found), LIFETIME_MS / 1_000)
    nowMs += LIFETIME_MS + 1
    assert.equal(router.parts.find(['bad']), undefined)
  })

  it('never include a part that any router of the fleet answers between crashes', () => {
    const step = fc.record({
      crashesAt: fc.nat({ max: 2 }),
      answersAt: fc.nat({ max: 2 }),
      others: fc.subarray(['a', 'b', 'c', 'd']),
    })
    fc.assert(
      fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
        const routers = startRouters(3, now)
        for (const { crashesAt, answersAt, others } of steps) {
          const router = routers[crashesAt]
          if (router) crash(router, ['sound', ...others, 'bad'])
          nowMs += 1
          routers[answersAt]?.parts.recordAnswered(['sound'])
          // An answer in dispute takes a second exchange.
          exchange(routers)
          exchange(routers)
          for (const { parts } of routers)
            assert.notEqual(parts.find(['sound', ...others])?.part, 'sound')
        }
      }),
      { seed: 27 },
    )
  })
})
