import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createEventSplitter } from '../createEventSplitter.js'

const eventsOf = (count: number): string =>
  Array.from(
    { length: count },
    (_, i) => `id: ${i}\ndata: chunk ${i}\n\n`,
  ).join('')

describe('createEventSplitter', () => {
  it('returns only complete events and keeps their bytes unchanged', () => {
    fc.assert(
      fc.property(
        fc.nat(6),
        fc.array(fc.nat(120), { maxLength: 8 }),
        fc.nat(20),
        (count, cuts, tail) => {
          const complete = eventsOf(count)
          const stream = Buffer.from(
            complete + 'id: 99\ndata: partial chunk'.slice(0, tail),
          )
          const offsets = [...cuts, stream.length].sort((a, b) => a - b)
          const splitter = createEventSplitter()
          let output = ''
          let from = 0
          for (const offset of offsets) {
            const to = Math.min(offset, stream.length)
            if (to === from) continue
            output += String(splitter.push(stream.subarray(from, to)) ?? '')
            from = to
          }
          assert.equal(output, complete)
          assert.equal(splitter.atEventBoundary, tail === 0)
          assert.equal(splitter.events, count)
          const last = count > 0 ? String(count - 1) : undefined
          assert.equal(splitter.lastEventId, last)
        },
      ),
      { seed: 11, numRuns: 500 },
    )
  })

  it('keeps the last id when an event without one follows', () => {
    const splitter = createEventSplitter()
    splitter.push(Buffer.from('id: 4\ndata: a\n\n'))
    splitter.push(Buffer.from(': comment\n\n'))
    assert.equal(splitter.lastEventId, '4')
  })

  it('discards an incomplete event on reset', () => {
    const splitter = createEventSplitter()
    splitter.push(Buffer.from('id: 1\nda'))
    splitter.reset()
    assert.equal(String(splitter.push(Buffer.from('id: 1\n\n'))), 'id: 1\n\n')
  })
})
