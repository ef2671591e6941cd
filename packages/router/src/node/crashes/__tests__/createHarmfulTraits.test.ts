import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import {
  createSharedRecords,
  type SharedRecords,
} from '../../peers/createSharedRecords.js'
import {
  createHarmfulTraits,
  type HarmfulTraits,
} from '../createHarmfulTraits.js'
import { requestTrait } from '../requestTrait.js'

const LIFETIME_MS = 60_000

/** A router that exchanges its records when the test says so. */
interface TestRouter {
  readonly records: SharedRecords
  readonly traits: HarmfulTraits
}

function startRouters(count: number, now: () => number): TestRouter[] {
  return Array.from({ length: count }, (_, i) => {
    const records = createSharedRecords({
      origin: `router-${i}`,
      lifetimeMs: LIFETIME_MS,
      onUpdate: () => undefined,
      now,
    })
    const traits = createHarmfulTraits({
      records,
      lifetimeMs: LIFETIME_MS,
      onFound: () => undefined,
      onCleared: () => undefined,
      log: { write: () => undefined },
      now,
    })
    return { records, traits }
  })
}

function exchange(routers: readonly TestRouter[]): void {
  for (const from of routers) {
    const updates = from.records.takeUpdates()
    for (const { records } of routers) records.merge(updates)
  }
}

describe('harmful traits', () => {
  let nowMs = 0
  let attempts = 0
  const now = (): number => nowMs

  function crash(
    { traits }: TestRouter,
    ids: readonly string[],
    attempt?: string,
  ): void {
    attempts += 1
    nowMs += 1_000
    traits.recordCrash(attempt ?? `attempt-${attempts}`, {
      target: `i-${attempts}`,
      sentAtMs: nowMs - 500,
      crashedAtMs: nowMs,
      traits: ids,
    })
  }

  it('are known to each router when every router has seen one crash', () => {
    const routers = startRouters(3, now)
    for (const router of routers) crash(router, ['a', 'bad'])
    exchange(routers)
    exchange(routers)
    for (const { traits } of routers)
      assert.equal(traits.find(['a', 'bad'])?.trait, 'a')
  })

  it('do not stop requests that share only their other traits', () => {
    const [router] = startRouters(1, now)
    assert.ok(router)
    for (let i = 0; i < 5; i += 1) crash(router, ['a', 'bad'])
    assert.equal(router.traits.find(['a', 'other']), undefined)
    router.traits.recordAnswered(['a', 'other'])
    assert.equal(router.traits.find(['a', 'bad'])?.trait, 'bad')
  })

  it('leave out the prompt parts of one request that explains all crashes', () => {
    const [router] = startRouters(1, now)
    assert.ok(router)
    const request = requestTrait('bad')
    for (let i = 0; i < 5; i += 1) crash(router, ['a', request])
    assert.equal(router.traits.find(['a', request])?.trait, request)
    assert.equal(router.traits.find(['a', requestTrait('sound')]), undefined)
  })

  it('leave out requests that a target broke off when another one crashed it', () => {
    const [router] = startRouters(1, now)
    assert.ok(router)
    const request = requestTrait('bad')
    for (let i = 0; i < 3; i += 1) {
      crash(router, ['a', request])
      // The target breaks off this request too.
      attempts -= 1
      crash(router, ['a', requestTrait(`sound-${i}`)], `sound-${i}`)
    }
    for (let i = 0; i < 3; i += 1) {
      const sound = ['a', requestTrait(`sound-${i}`)]
      assert.equal(router.traits.find(sound), undefined)
    }
    assert.equal(router.traits.find(['a', request])?.trait, request)
  })

  it('are found whatever else their requests have', () => {
    const [router] = startRouters(1, now)
    assert.ok(router)
    for (const other of ['a', 'b', 'c']) crash(router, [other, 'bad'])
    assert.equal(router.traits.find(['d', 'bad'])?.trait, 'bad')
  })

  it('are found when one request has crashed all three targets', () => {
    const [router] = startRouters(1, now)
    assert.ok(router)
    for (let i = 0; i < 3; i += 1) crash(router, ['bad'], 'attempt')
    assert.equal(router.traits.find(['bad'])?.trait, 'bad')
  })

  it('are forgotten after their lifetime', () => {
    const [router] = startRouters(1, now)
    assert.ok(router)
    for (const other of ['a', 'b', 'c']) crash(router, [other, 'bad'])
    const found = router.traits.find(['bad'])
    assert.ok(found)
    assert.equal(router.traits.remainingS(found), LIFETIME_MS / 1_000)
    nowMs += LIFETIME_MS + 1
    assert.equal(router.traits.find(['bad']), undefined)
  })

  it('never include a trait that any router of the fleet answers between crashes', () => {
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
          routers[answersAt]?.traits.recordAnswered(['sound'])
          // An answer in dispute takes a second exchange.
          exchange(routers)
          exchange(routers)
          for (const { traits } of routers)
            assert.notEqual(traits.find(['sound', ...others])?.trait, 'sound')
        }
      }),
      { seed: 27 },
    )
  })
})
