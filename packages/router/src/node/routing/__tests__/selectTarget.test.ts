import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { Target } from '../../targets/target.js'
import { selectTarget } from '../selectTarget.js'

/** Times the mean load, and requests above it, that a target may hold. */
const LOAD_FACTOR = 2
const LOAD_MARGIN = 3

function targets(count: number, slots = 8): Target[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `t${i}`,
    service: 's',
    host: '10.0.0.1',
    port: i,
    slots,
    draining: false,
  }))
}

const workOf =
  (load: (id: string) => number, unread = 0) =>
  (id: string) => ({
    requests: load(id),
    pendingPromptTokens: unread,
  })

describe('choosePlace', () => {
  it('sends what shares a prompt to one target while loads allow', () => {
    const question = {
      targets: targets(13),
      load: workOf(() => 3),
      affinity: 'prompt',
      promptTokens: 800,
      cachedOn: [],
    }
    const first = selectTarget({ ...question, tieBreaker: '1' })
    const second = selectTarget({ ...question, tieBreaker: '2' })
    assert.equal(first?.id, second?.id)
  })

  it('never places above the bound on load', () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(60), { minLength: 1, maxLength: 13 }),
        fc.string(),
        fc.boolean(),
        (loads, affinity, hasAffinity) => {
          const list = targets(loads.length)
          const load = (id: string) => loads[Number(id.slice(1))] ?? 0
          const place = selectTarget({
            targets: list,
            load: workOf(load),
            tieBreaker: 'x',
            promptTokens: 800,
            cachedOn: [],
            ...(hasAffinity && { affinity }),
          })
          assert.ok(place)
          const mean = loads.reduce((a, b) => a + b, 0) / loads.length
          const bound = LOAD_FACTOR * mean + LOAD_MARGIN
          assert.ok(load(place.id) + 1 <= bound)
        },
      ),
      { seed: 9, numRuns: 500 },
    )
  })

  it('sends hot prompts that overflow to the same next target', () => {
    const list = targets(6)
    const question = {
      targets: list,
      affinity: 'hot',
      promptTokens: 800,
      cachedOn: [],
    }
    const home = selectTarget({
      ...question,
      tieBreaker: '1',
      load: workOf(() => 0),
    })
    const load = (id: string) => (id === home?.id ? 50 : 1)
    const next = selectTarget({
      ...question,
      tieBreaker: '1',
      load: workOf(load),
    })
    const other = selectTarget({
      ...question,
      tieBreaker: '2',
      load: workOf(load),
    })
    assert.notEqual(next?.id, home?.id)
    assert.equal(next?.id, other?.id)
  })

  it('stays with the target that holds a prompt when others join', () => {
    const before = {
      targets: targets(4),
      load: workOf(() => 2),
      promptTokens: 800,
      cachedOn: [],
    }
    for (let i = 0; i < 40; i += 1) {
      const key = { affinity: `prompt ${i}`, tieBreaker: String(i) }
      const home = selectTarget({ ...before, ...key })
      const after = {
        ...before,
        targets: targets(8),
        promptTokens: 800,
        cachedOn: [home?.id ?? ''],
      }
      assert.equal(selectTarget({ ...after, ...key })?.id, home?.id)
    }
  })

  it('gives a prompt that none holds to a target with little to read', () => {
    const list = targets(6)
    const question = {
      targets: list,
      affinity: 'new',
      promptTokens: 800,
      cachedOn: [],
      tieBreaker: '1',
    }
    const home = selectTarget({ ...question, load: workOf(() => 1) })
    const work = (id: string) => ({
      requests: 1,
      pendingPromptTokens: id === home?.id ? 12_000 : 0,
    })
    assert.notEqual(selectTarget({ ...question, load: work })?.id, home?.id)
    const long = { ...question, promptTokens: 12_000 }
    const longHome = selectTarget({ ...long, load: workOf(() => 1) })
    assert.equal(selectTarget({ ...long, load: work })?.id, longHome?.id)
  })

  it('leaves a holder that is over the bound', () => {
    const load = (id: string) => (id === 't0' ? 40 : 1)
    const place = selectTarget({
      targets: targets(6),
      load: workOf(load),
      affinity: 'prompt',
      promptTokens: 800,
      cachedOn: ['t0'],
      tieBreaker: '1',
    })
    assert.notEqual(place?.id, 't0')
  })

  it('spreads what shares nothing over equal targets', () => {
    const list = targets(3)
    const seen = new Set<string | undefined>()
    for (let i = 0; i < 50; i += 1)
      seen.add(
        selectTarget({
          targets: list,
          load: workOf(() => 0),
          tieBreaker: String(i),
          promptTokens: 800,
          cachedOn: [],
        })?.id,
      )
    assert.equal(seen.size, 3)
  })

  it('finds no place among no targets', () => {
    const question = {
      targets: [],
      load: workOf(() => 0),
      tieBreaker: 'x',
      promptTokens: 800,
      cachedOn: [],
    }
    assert.equal(selectTarget(question), undefined)
  })
})
