import assert from 'node:assert/strict'
import { once, EventEmitter } from 'node:events'
import { describe, it } from 'node:test'
import { err, ok } from 'neverthrow'
import { createSourceFollower } from '../createSourceFollower.js'
import type { KeyedSource, SourceListing, SourcePage } from '../keyedSource.js'
import { SourceFault } from '../sourceFault.js'

type Answer = SourceListing<string> | SourcePage<string> | SourceFault

/** Plays answers one after another, then stays silent. */
function playedSource(answers: Answer[]): KeyedSource<string> & {
  readonly asked: string[]
} {
  const asked: string[] = []
  function next(): Promise<never> {
    const answer = answers.shift()
    if (answer === undefined) return new Promise(() => undefined)
    const result = typeof answer === 'string' ? err(answer) : ok(answer)
    return Promise.resolve(result as never)
  }
  return {
    asked,
    list: () => {
      asked.push('list')
      return next()
    },
    read: (from) => {
      asked.push(`read ${from}`)
      return next()
    },
  }
}

async function follow(answers: Answer[], lastAsked: number) {
  const source = playedSource(answers)
  const seen: string[] = []
  const done = new EventEmitter()
  let nowMs = 0
  const follower = createSourceFollower({
    source: {
      list: () => {
        const listing = source.list()
        if (source.asked.length === lastAsked) done.emit('done')
        return listing
      },
      read: (from) => {
        const page = source.read(from)
        if (source.asked.length === lastAsked) done.emit('done')
        return page
      },
    },
    pollIntervalMs: 0,
    now: () => (nowMs += 100),
    onListing: (values) => seen.push(`listing ${[...values.keys()].join()}`),
    onEntry: ({ key, value }) => seen.push(`${key}=${value ?? 'gone'}`),
    onUnavailable: (fault) => seen.push(`lost ${fault}`),
    onRecovered: (lostMs) => seen.push(`regained ${lostMs > 0}`),
  })
  await once(done, 'done')
  follower.stop()
  return { asked: source.asked, seen }
}

const listing = (end: number): Answer => ({
  values: new Map([['a', '1']]),
  end,
})

describe('createSourceFollower', () => {
  it('lists once and reads on from there', async () => {
    const page = { entries: [{ key: 'b', value: '2' }, { key: 'a' }], end: 6 }
    const { asked, seen } = await follow([listing(4), page], 3)
    assert.deepEqual(asked, ['list', 'read 4', 'read 6'])
    assert.deepEqual(seen, ['listing a', 'b=2', 'a=gone'])
  })

  it('lists again where the records were deleted', async () => {
    const { asked } = await follow(
      [listing(4), SourceFault.Trimmed, listing(9)],
      4,
    )
    assert.deepEqual(asked, ['list', 'read 4', 'list', 'read 9'])
  })

  it('lists again where another history ends before its place', async () => {
    const shorter = { entries: [], end: 2 }
    const { asked } = await follow([listing(4), shorter, listing(2)], 4)
    assert.deepEqual(asked, ['list', 'read 4', 'list', 'read 2'])
  })

  it('goes on from its place after an outage and tells of it once', async () => {
    const fault = SourceFault.Unavailable
    const page = { entries: [], end: 4 }
    const { asked, seen } = await follow([listing(4), fault, fault, page], 5)
    assert.deepEqual(asked, ['list', 'read 4', 'read 4', 'read 4', 'read 4'])
    assert.deepEqual(seen, ['listing a', 'lost unavailable', 'regained true'])
  })
})
