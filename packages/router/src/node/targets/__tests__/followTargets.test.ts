import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { setImmediate as turn } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import { SourceFault } from '../../sources/sourceFault.js'
import type { KeyedSource, SourceEntry } from '../../sources/keyedSource.js'
import { createTargetList } from '../createTargetList.js'
import { followTargets } from '../followTargets.js'
import type { Target } from '../target.js'

function target(id: string, draining = false): Target {
  const address = { host: '10.0.0.1', port: 1 }
  return { id, service: 's', ...address, slots: 4, draining }
}

/** Follows a list whose changes a test writes, on a clock that it moves. */
async function follow(listed: Target[]) {
  const changes: SourceEntry<Target>[] = []
  let nowMs = 1_000
  let covered = false
  let away = false
  let unreadAtMs = 0
  const source: KeyedSource<Target> = {
    list: () => {
      const values = new Map(listed.map((entry) => [entry.id, entry]))
      return Promise.resolve(ok({ values, end: 0 }))
    },
    read: (from) =>
      Promise.resolve(
        away
          ? err(SourceFault.Unavailable)
          : ok({ entries: changes.splice(0), end: from }),
      ),
  }
  const view = createTargetList(2_000)
  const follower = followTargets({
    source,
    targetList: view,
    pollIntervalMs: 1,
    lastFleetOutageAtMs: () => unreadAtMs,
    hasFreshReader: () => covered,
    onChange: () => undefined,
    log: { write: () => undefined },
    now: () => nowMs,
  })
  const settle = async (): Promise<void> => {
    for (let i = 0; i < 20; i += 1) {
      await new Promise((resolve) => setTimeout(resolve, 1))
      await turn()
    }
  }
  await settle()
  return {
    follower,
    settle,
    changes,
    ready: () => view.ready('s', nowMs).map(({ id }) => id),
    cover: (value: boolean) => {
      covered = value
    },
    /** Breaks the list for 8 s; peers cannot read it until `unreadMs` after its start. */
    async outage(unreadMs: number) {
      away = true
      await settle()
      unreadAtMs = nowMs + unreadMs
      nowMs += 8_000
      away = false
    },
    advance: (ms: number) => {
      nowMs += ms
    },
  }
}

describe('followTargets', () => {
  it('takes a newer list from a peer', async () => {
    const test = await follow([target('a')])
    test.cover(true)
    await test.settle()
    test.advance(800)
    test.follower.applyPeerList([target('a'), target('b')], 50)
    assert.deepEqual(test.ready(), ['a', 'b'])
    assert.equal(test.follower.ageMs(), 50)
    test.follower.stop()
  })

  it('lets no peer bring back a target that went or leaves', async () => {
    const test = await follow([target('a'), target('b')])
    test.changes.push({ key: 'a' }, { key: 'b', value: target('b', true) })
    await test.settle()
    assert.deepEqual(test.ready(), [])
    test.cover(true)
    await test.settle()
    test.follower.applyPeerList([target('a'), target('b', true)], 0)
    test.follower.applyPeerList([target('b')], 0)
    assert.deepEqual(test.ready(), [])
    test.follower.stop()
  })

  it('believes the list when it says that a target came back', async () => {
    const test = await follow([target('a')])
    test.changes.push({ key: 'a' })
    await test.settle()
    test.changes.push({ key: 'a', value: target('a') })
    await test.settle()
    assert.deepEqual(test.ready(), ['a'])
    test.follower.stop()
  })

  it('reads for itself after a pause, whatever peers read', async () => {
    const test = await follow([target('a')])
    test.cover(true)
    await test.settle()
    test.changes.push({ key: 'a', value: target('a', true) })
    await test.settle()
    assert.deepEqual(test.ready(), ['a'])
    test.follower.invalidate()
    assert.equal(test.follower.ageMs(), Infinity)
    // A follower that is covered looks a quarter of a second later.
    await new Promise((resolve) => setTimeout(resolve, 300))
    await test.settle()
    assert.deepEqual(test.ready(), [])
    test.follower.stop()
  })

  for (const { title, unreadMs, left } of [
    {
      title: 'drops a target at once where peers read the list in an outage',
      unreadMs: 1_000,
      left: [],
    },
    {
      title: 'waits for lost entries after an outage of all',
      unreadMs: 8_000,
      left: ['a'],
    },
  ])
    it(title, async () => {
      const test = await follow([target('a')])
      await test.outage(unreadMs)
      test.changes.push({ key: 'a' })
      // A list that did not answer is tried again a quarter of a second later.
      await new Promise((resolve) => setTimeout(resolve, 300))
      await test.settle()
      assert.deepEqual(test.ready(), left)
      test.follower.stop()
    })
})
