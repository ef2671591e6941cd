import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { type CacheEvent, CacheEventKind } from '../cacheEvent.js'
import { createCacheLocationIndex } from '../createCacheLocationIndex.js'

const stepArbitrary = fc.record({
  target: fc.constantFrom('t1', 't2', 't3'),
  kind: fc.constantFrom(CacheEventKind.Stored, CacheEventKind.Evicted),
  chat: fc.constantFrom('a', 'b', 'c', 'd'),
  lost: fc.boolean(),
})

/** Reference index: replays received events and clears a target at each gap. */
function createNaiveIndex() {
  const cachedOn = new Map<string, string>()
  const next = new Map<string, number>()
  return {
    cachedOn,
    apply(target: string, { sequence, kind, chat }: CacheEvent): void {
      if (sequence > (next.get(target) ?? 0))
        for (const [held, id] of [...cachedOn])
          if (id === target) cachedOn.delete(held)
      next.set(target, sequence + 1)
      if (kind === CacheEventKind.Stored) cachedOn.set(chat, target)
      else if (cachedOn.get(chat) === target) cachedOn.delete(chat)
    },
  }
}

describe('createCacheLocationIndex', () => {
  it('behaves like a naive replay of events with gaps', () => {
    const property = fc.property(fc.array(stepArbitrary), (steps) => {
      const index = createCacheLocationIndex(100)
      const naive = createNaiveIndex()
      const sequences = new Map<string, number>()
      for (const { target, kind, chat, lost } of steps) {
        const sequence = sequences.get(target) ?? 0
        sequences.set(target, sequence + 1)
        if (lost) continue
        index.apply(target, [{ sequence, kind, chat }])
        naive.apply(target, { sequence, kind, chat })
      }
      for (const chat of ['a', 'b', 'c', 'd'])
        assert.equal(index.cachedOn(chat), naive.cachedOn.get(chat))
    })
    fc.assert(property, { seed: 13, numRuns: 500 })
  })
})
