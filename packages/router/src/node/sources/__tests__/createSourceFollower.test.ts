import assert from 'node:assert/strict'
import { once, EventEmitter } from 'node:events'
import { describe, it } from 'node:test'
import { setImmediate as turn } from 'node:timers/promises'
import {
  createSourceFollower,
  type SourceFollowerOptions,
} from '../createSourceFollower.js'
import { SourceFault } from '../sourceFault.js'
import { createFakeSource, listing, type SourceResponse } from './fakeSource.js'

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
})
