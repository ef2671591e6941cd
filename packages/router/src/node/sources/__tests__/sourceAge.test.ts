import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { setImmediate as turn } from 'node:timers/promises'
import { ok } from 'neverthrow'
import { createSourceFollower } from '../createSourceFollower.js'
import type { SourcePage } from '../keyedSource.js'
import { createFakeSource, listing } from './fakeSource.js'

describe("the age of a source's values", () => {
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
    // The poll was sent as the process went on, 100 ms ago.
    assert.deepEqual([reads, follower.lastPollAgeMs()], [3, 100])
    follower.stop()
  })

  it('counts the age of its values from the time at which a poll was sent', async () => {
    let nowMs = 0
    const responses: (() => void)[] = []
    const follower = createSourceFollower<string>({
      source: {
        list: () =>
          new Promise((resolve) => {
            responses.push(() => {
              resolve(ok({ values: new Map<string, string>(), nextOffset: 4 }))
            })
          }),
        read: () => new Promise(() => undefined),
      },
      pollIntervalMs: 0,
      now: () => nowMs,
      onListing: () => undefined,
      onEntry: () => undefined,
    })
    nowMs = 700
    for (const respond of responses) respond()
    await turn()
    assert.equal(follower.ageMs(), 700)
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
