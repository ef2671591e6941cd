import assert from 'node:assert/strict'
import { once, EventEmitter } from 'node:events'
import { describe, it } from 'node:test'
import { setImmediate as turn } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import {
  createSourceFollower,
  type SourceFollowerOptions,
} from '../createSourceFollower.js'
import type { KeyedSource, SourceListing, SourcePage } from '../keyedSource.js'
import { SourceFault } from '../sourceFault.js'

type SourceResponse = SourceListing<string> | SourcePage<string> | SourceFault

/** Returns a source that gives the responses in turn and then never resolves. */
function createFakeSource(responses: SourceResponse[]): KeyedSource<string> & {
  readonly requests: string[]
} {
  const requests: string[] = []
  function next(): Promise<never> {
    const response = responses.shift()
    if (response === undefined) return new Promise(() => undefined)
    const result = typeof response === 'string' ? err(response) : ok(response)
    return Promise.resolve(result as never)
  }
  return {
    requests,
    list: () => {
      requests.push('list')
      return next()
    },
    read: (from) => {
      requests.push(`read ${from}`)
      return next()
    },
  }
}

async function follow(
  responses: SourceResponse[],
  requestCount: number,
  outageRetryMs = () => 0,
  intervals: Partial<
    Pick<SourceFollowerOptions<string>, 'pollIntervalMs' | 'listAfterMs'>
  > = {},
) {
  const source = createFakeSource(responses)
  const seen: string[] = []
  const done = new EventEmitter()
  let nowMs = 0
  const follower = createSourceFollower({
    source: {
      list: () => {
        const listing = source.list()
        if (source.requests.length === requestCount) done.emit('done')
        return listing
      },
      read: (from) => {
        const page = source.read(from)
        if (source.requests.length === requestCount) done.emit('done')
        return page
      },
    },
    pollIntervalMs: 0,
    outageRetryMs,
    ...intervals,
    now: () => (nowMs += 100),
    onListing: (values) => seen.push(`listing ${[...values.keys()].join()}`),
    onEntry: ({ key, value }) => seen.push(`${key}=${value ?? 'gone'}`),
    onUnavailable: (fault) => seen.push(`fault ${fault}`),
    onRecovered: (outageMs) => seen.push(`recovered ${outageMs > 0}`),
  })
  await once(done, 'done')
  follower.stop()
  return { requests: source.requests, seen }
}

const listing = (nextOffset: number): SourceResponse => ({
  values: new Map([['a', '1']]),
  nextOffset,
})

describe('createSourceFollower', () => {
  it('lists once and reads on from there', async () => {
    const page = {
      entries: [{ key: 'b', value: '2' }, { key: 'a' }],
      nextOffset: 6,
    }
    const { requests, seen } = await follow([listing(4), page], 3)
    assert.deepEqual(requests, ['list', 'read 4', 'read 6'])
    assert.deepEqual(seen, ['listing a', 'b=2', 'a=gone'])
  })

  it('applies no change before it has read to the end of the log', async () => {
    const draining = { key: 'a', value: 'draining' }
    const older = { entries: [{ key: 'a', value: 'ready' }], nextOffset: 5 }
    const pages = [
      { ...older, endOffset: 6 },
      { entries: [draining], nextOffset: 6, endOffset: 6 },
    ]
    const { requests, seen } = await follow([listing(4), ...pages], 4)
    assert.deepEqual(requests, ['list', 'read 4', 'read 5', 'read 6'])
    assert.deepEqual(seen, ['listing a', 'a=draining'])
  })

  it('lists again after the records were deleted', async () => {
    const { requests } = await follow(
      [listing(4), SourceFault.Trimmed, listing(9)],
      4,
    )
    assert.deepEqual(requests, ['list', 'read 4', 'list', 'read 9'])
  })

  it('waits for no interval between deleted records and the next listing', async () => {
    let sleeps = 0
    const counts: number[] = []
    const source = createFakeSource([
      listing(4),
      SourceFault.Trimmed,
      listing(9),
    ])
    const follower = createSourceFollower({
      source,
      pollIntervalMs: 300,
      sleep: () => {
        sleeps += 1
        return turn()
      },
      now: () => 0,
      onListing: () => counts.push(sleeps),
      onEntry: () => undefined,
    })
    while (counts.length < 2) await turn()
    follower.stop()
    // One interval, in two steps, lies between the first listing and the read.
    assert.deepEqual(counts, [0, 2])
  })

  it('lists the source after a time without a poll in which much has changed', async () => {
    const { requests } = await follow([listing(4), listing(9)], 2, () => 0, {
      listAfterMs: 50,
    })
    assert.deepEqual(requests, ['list', 'list'])
  })

  it('lists again after the log was replaced by a shorter one', async () => {
    const shorter = { entries: [], nextOffset: 2 }
    const { requests } = await follow([listing(4), shorter, listing(2)], 4)
    assert.deepEqual(requests, ['list', 'read 4', 'list', 'read 2'])
  })

  it('reads on from its offset after an outage and reports the outage once', async () => {
    const fault = SourceFault.Unavailable
    const page = { entries: [], nextOffset: 4 }
    const { requests, seen } = await follow([listing(4), fault, fault, page], 5)
    assert.deepEqual(requests, ['list', 'read 4', 'read 4', 'read 4', 'read 4'])
    assert.deepEqual(seen, ['listing a', 'fault unavailable', 'recovered true'])
  })

  it('polls an unavailable source at once when no peer polls it any more', async () => {
    let checks = 0
    const { requests } = await follow(
      [listing(4), SourceFault.Unavailable],
      3,
      () => ((checks += 1) === 1 ? 1e9 : 0),
    )
    assert.deepEqual(requests, ['list', 'read 4', 'read 4'])
  })

  it('counts no poll whose response waited while the process was paused', async () => {
    let pausedAtMs = -Infinity
    let nowMs = 0
    let reads = 0
    const pages: ((page: SourcePage<string>) => void)[] = []
    const follower = createSourceFollower<string>({
      source: {
        list: () =>
          Promise.resolve(
            ok({ values: new Map<string, string>(), nextOffset: 4 }),
          ),
        read: () =>
          new Promise((resolve) => {
            pages.push((page) => {
              resolve(ok(page))
            })
          }),
      },
      pollIntervalMs: 0,
      now: () => nowMs,
      hasPausedSince: (sinceMs) => pausedAtMs > sinceMs,
      onListing: () => undefined,
      onEntry: () => undefined,
      onRead: () => (reads += 1),
    })
    const respond = async (): Promise<void> => {
      while (pages.length === 0) await turn()
      pages.shift()?.({ entries: [], nextOffset: 4 })
      while (pages.length === 0) await turn()
    }
    await respond()
    assert.deepEqual([reads, follower.lastPollAgeMs()], [2, 0])
    pausedAtMs = 4_000
    nowMs = 4_000
    assert.equal(follower.lastPollAgeMs(), Infinity)
    await respond()
    assert.deepEqual([reads, follower.lastPollAgeMs()], [2, Infinity])
    nowMs = 4_100
    await respond()
    assert.deepEqual([reads, follower.lastPollAgeMs()], [3, 0])
    follower.stop()
  })

  it('polls when its own values are too old although a peer polls', async () => {
    let nowMs = 0
    const sleeps: (() => void)[] = []
    const source = createFakeSource([
      listing(4),
      { entries: [], nextOffset: 4 },
    ])
    const follower = createSourceFollower({
      source,
      pollIntervalMs: 500,
      now: () => nowMs,
      sleep: () => new Promise((resolve) => sleeps.push(resolve)),
      hasFreshReader: () => true,
      maxAgeMs: () => 1_200,
      onListing: () => undefined,
      onEntry: () => undefined,
    })
    const advance = async (ms: number): Promise<void> => {
      nowMs += ms
      for (const wake of sleeps.splice(0)) wake()
      await turn()
    }
    await turn()
    for (let i = 0; i < 3; i += 1) await advance(300)
    follower.confirm(100)
    await advance(1_000)
    assert.deepEqual(source.requests, ['list'])
    await advance(200)
    assert.deepEqual(source.requests, ['list', 'read 4'])
    follower.stop()
  })
})
