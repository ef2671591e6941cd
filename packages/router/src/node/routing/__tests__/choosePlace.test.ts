import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { Target } from '../../targets/target.js'
import { choosePlace } from '../choosePlace.js'

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
    unreadTokens: unread,
  })

describe('choosePlace', () => {
  it('sends what shares a prompt to one target while loads allow', () => {
    const question = {
      targets: targets(13),
      work: workOf(() => 3),
      affinity: 'prompt',
      promptTokens: 800,
      holders: [],
    }
    const first = choosePlace({ ...question, spread: '1' })
    const second = choosePlace({ ...question, spread: '2' })
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
          const place = choosePlace({
            targets: list,
            work: workOf(load),
            spread: 'x',
            promptTokens: 800,
            holders: [],
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
      holders: [],
    }
    const home = choosePlace({
      ...question,
      spread: '1',
      work: workOf(() => 0),
    })
    const load = (id: string) => (id === home?.id ? 50 : 1)
    const next = choosePlace({ ...question, spread: '1', work: workOf(load) })
    const other = choosePlace({ ...question, spread: '2', work: workOf(load) })
    assert.notEqual(next?.id, home?.id)
    assert.equal(next?.id, other?.id)
  })

  it('stays with the target that holds a prompt when others join', () => {
    const before = {
      targets: targets(4),
      work: workOf(() => 2),
      promptTokens: 800,
      holders: [],
    }
    for (let i = 0; i < 40; i += 1) {
      const key = { affinity: `prompt ${i}`, spread: String(i) }
      const home = choosePlace({ ...before, ...key })
      const after = {
        ...before,
        targets: targets(8),
        promptTokens: 800,
        holders: [home?.id ?? ''],
      }
      assert.equal(choosePlace({ ...after, ...key })?.id, home?.id)
    }
  })

  it('gives a prompt that none holds to a target with little to read', () => {
    const list = targets(6)
    const question = {
      targets: list,
      affinity: 'new',
      promptTokens: 800,
      holders: [],
      spread: '1',
    }
    const home = choosePlace({ ...question, work: workOf(() => 1) })
    const work = (id: string) => ({
      requests: 1,
      unreadTokens: id === home?.id ? 12_000 : 0,
    })
    assert.notEqual(choosePlace({ ...question, work })?.id, home?.id)
    const long = { ...question, promptTokens: 12_000 }
    const longHome = choosePlace({ ...long, work: workOf(() => 1) })
    assert.equal(choosePlace({ ...long, work })?.id, longHome?.id)
  })

  it('leaves a holder that is over the bound', () => {
    const load = (id: string) => (id === 't0' ? 40 : 1)
    const place = choosePlace({
      targets: targets(6),
      work: workOf(load),
      affinity: 'prompt',
      promptTokens: 800,
      holders: ['t0'],
      spread: '1',
    })
    assert.notEqual(place?.id, 't0')
  })

  it('spreads what shares nothing over equal targets', () => {
    const list = targets(3)
    const seen = new Set<string | undefined>()
    for (let i = 0; i < 50; i += 1)
      seen.add(
        choosePlace({
          targets: list,
          work: workOf(() => 0),
          spread: String(i),
          promptTokens: 800,
          holders: [],
        })?.id,
      )
    assert.equal(seen.size, 3)
  })

  it('finds no place among no targets', () => {
    const question = {
      targets: [],
      work: workOf(() => 0),
      spread: 'x',
      promptTokens: 800,
      holders: [],
    }
    assert.equal(choosePlace(question), undefined)
  })
})
