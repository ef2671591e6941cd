import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createStreamAssembler } from '../createStreamAssembler.js'
import { StreamFault } from '../streamFault.js'

const SEED = 502

const event = (index: number, data: string): string =>
  `id: ${index}\ndata: ${data}\n\n`

function eventsOf(words: readonly string[]): string[] {
  return [...words, '[DONE]'].map((word, index) => event(index, word))
}

/** Pushes `text` in chunks and returns the forwarded events. */
function feed(
  assembler: ReturnType<typeof createStreamAssembler>,
  text: string,
  pieceLength: number,
): string {
  let passedOn = ''
  for (let at = 0; at < text.length; at += pieceLength)
    passedOn += assembler.push(text.slice(at, at + pieceLength))
  return passedOn
}

describe('createStreamAssembler', () => {
  it('reassembles a stream cut anywhere, also if the engine repeats events', () => {
    const word = fc.string({ minLength: 1, maxLength: 8 })
    const cut = fc.record({
      position: fc.nat(),
      repeats: fc.nat({ max: 3 }),
    })
    fc.assert(
      fc.property(
        fc.array(
          word.map((w) => w.replaceAll(/[\r\n\0]/g, '').trim() + 'x'),
          { maxLength: 12 },
        ),
        fc.array(cut, { maxLength: 4 }),
        fc.integer({ min: 1, max: 40 }),
        (words, cuts, pieceLength) => {
          const events = eventsOf(words)
          const whole = events.join('')
          const assembler = createStreamAssembler()
          let passedOn = ''
          let rest = whole
          for (const { position, repeats } of cuts) {
            const kept = rest.slice(0, position % (rest.length + 1))
            passedOn += feed(assembler, kept, pieceLength)
            const next = assembler.nextEventNumber
            assert.notEqual(next, undefined)
            assembler.resume()
            const from = Math.max(0, (next ?? 0) - repeats)
            rest = events.slice(from).join('')
          }
          passedOn += feed(assembler, rest, pieceLength)
          assert.equal(passedOn, whole)
          assert.equal(assembler.done, true)
          assert.equal(assembler.fault, undefined)
        },
      ),
      { seed: SEED, numRuns: 400 },
    )
  })

  it('forwards nothing after a gap', () => {
    const assembler = createStreamAssembler()
    assert.equal(assembler.push(event(0, 'a')), event(0, 'a'))
    assembler.resume()
    assert.equal(assembler.push(event(2, 'c')), '')
    assert.equal(assembler.fault, StreamFault.Gap)
    assert.equal(assembler.push(event(1, 'b')), '')
  })

  it('cannot resume a stream whose events are not numbered from 0', () => {
    const assembler = createStreamAssembler()
    assert.equal(assembler.push('data: a\n\n'), 'data: a\n\n')
    assert.equal(assembler.nextEventNumber, undefined)
  })

  it('rejects a resumed stream without event numbers', () => {
    const assembler = createStreamAssembler()
    assembler.push(event(0, 'a'))
    assembler.resume()
    assert.equal(assembler.push('data: b\n\n'), '')
    assert.equal(assembler.fault, StreamFault.Unnumbered)
  })

  it('forwards nothing after the end marker', () => {
    const assembler = createStreamAssembler()
    assembler.push(event(0, '[DONE]'))
    assert.equal(assembler.push(event(1, 'late')), '')
    assert.equal(assembler.done, true)
  })
})
