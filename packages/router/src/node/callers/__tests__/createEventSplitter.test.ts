import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createEventSplitter } from '../createEventSplitter.js'

const eventsOf = (count: number): string =>
  Array.from(
    { length: count },
    (_, i) => `id: ${i}\ndata: chunk ${i}\n\n`,
  ).join('')

/** Returns the bytes that `run` copies from one buffer to another. */
function countCopied(run: () => void): number {
  const copy = Reflect.get(Buffer.prototype, 'copy') as (
    ...args: unknown[]
  ) => number
  const concat = Reflect.get(Buffer, 'concat') as (list: Buffer[]) => Buffer
  let copied = 0
  function countingCopy(this: Buffer, ...args: unknown[]): number {
    const count = copy.apply(this, args)
    copied += count
    return count
  }
  Object.assign(Buffer.prototype, { copy: countingCopy })
  Buffer.concat = (list) => {
    const bytes = concat(list as Buffer[])
    copied += bytes.length
    return bytes as Buffer<ArrayBuffer>
  }
  try {
    run()
  } finally {
    Object.assign(Buffer.prototype, { copy })
    Object.assign(Buffer, { concat })
  }
  return copied
}

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

  /** Guards against a router that stands still while an event does not end (issue 44, review/4). */
  it('copies each byte a few times at most, in pieces of any size and with both line ends', () => {
    const lineEnds = fc.constantFrom('\n', '\r\n')
    const pieces = fc.constantFrom(1, 2, 3, 16, 64, 1_000, 65_536)
    const lines = fc.array(
      fc.constantFrom('id: 7', 'data: x', 'data: '.padEnd(5_000, 'x'), ': c'),
      { minLength: 1, maxLength: 30 },
    )
    fc.assert(
      fc.property(lineEnds, pieces, lines, (end, size, content) => {
        const event = content.join(end) + end + end
        const tail = 'data: '.padEnd(50_000, 'x')
        const bytes = Buffer.from(event + event + tail)
        const splitter = createEventSplitter()
        let output = ''
        const copied = countCopied(() => {
          for (let at = 0; at < bytes.length; at += size)
            output += String(splitter.push(bytes.subarray(at, at + size)) ?? '')
        })
        assert.equal(output, event + event)
        assert.equal(splitter.events, 2)
        assert.equal(splitter.incompleteBytes, tail.length)
        assert.ok(copied <= 3 * bytes.length, `${copied / bytes.length} times`)
      }),
      { seed: 44, numRuns: 30 },
    )
  })

  it('takes no id that cannot be sent to a target', () => {
    const splitter = createEventSplitter()
    splitter.push(Buffer.from('id: 4\ndata: a\n\n'))
    splitter.push(Buffer.from('id: 5\u0001\ndata: a\n\n'))
    assert.equal(splitter.lastEventId, undefined)
    splitter.push(Buffer.from(`id: ${'6'.repeat(5_000)}\ndata: a\n\n`))
    assert.equal(splitter.lastEventId, undefined)
    splitter.push(Buffer.from('id: 7\r\ndata: a\r\n\r\n'))
    assert.equal(splitter.lastEventId, '7')
  })

  it('counts no event for empty lines', () => {
    const splitter = createEventSplitter()
    assert.equal(String(splitter.push(Buffer.from('\n\r\n\n'))), '\n\r\n\n')
    assert.equal(splitter.events, 0)
    assert.ok(splitter.atEventBoundary)
  })
})
