import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { setImmediate as turn } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import { createLogRestores } from '../../sources/createLogRestores.js'
import { SourceFault } from '../../sources/sourceFault.js'
import type { KeyedSource, SourceEntry } from '../../sources/keyedSource.js'
import { createTargetList } from '../createTargetList.js'
import { followTargets } from '../followTargets.js'
import type { Target } from '../target.js'

function target(id: string, draining = false): Target {
  const address = { host: '10.0.0.1', port: 1 }
  return {
    id,
    service: 's',
    ...address,
    slots: 4,
    softwareVersion: 'v1',
    draining,
  }
}

/** Follows a fake source on a fake clock; the test writes the changes and advances the clock. */
async function follow(listed: Target[]) {
  const changes: SourceEntry<Target>[] = []
  let nowMs = 1_000
  let hasFreshReader = false
  let isUnavailable = false
  const source: KeyedSource<Target> = {
    list: () => {
      const values = new Map(listed.map((entry) => [entry.id, entry]))
      return Promise.resolve(ok({ values, nextOffset: 0 }))
    },
    read: (from) =>
      Promise.resolve(
        isUnavailable
          ? err(SourceFault.Unavailable)
          : ok({ entries: changes.splice(0), nextOffset: from }),
      ),
  }
  const targetList = createTargetList(2_000, () => 2_000)
  const follower = followTargets({
    source,
    logRestores: createLogRestores(),
    targetList,
    coldTargets: { recordListed: () => undefined },
    pollIntervalMs: 1,
    maxAgeMs: () => 1_500,
    hasFreshReader: () => hasFreshReader,
    outageRetryMs: () => 250,
    onChange: () => undefined,
    log: { write: () => undefined },
    now: () => nowMs,
    hasPausedSince: () => false,
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
    ready: () => targetList.ready('s', nowMs).map(({ id }) => id),
    setFreshReader: (value: boolean) => {
      hasFreshReader = value
    },
    /** Makes the source unavailable for 8 s, and for a peer whose list is confirmed until `fleetOutageMs` after its start. */
    async outage(fleetOutageMs: number) {
      isUnavailable = true
      nowMs += 1
      await settle()
      nowMs += fleetOutageMs
      if (fleetOutageMs < 8_000) follower.confirm(0)
      nowMs += 8_000 - fleetOutageMs
      isUnavailable = false
    },
    advance: (ms: number) => {
      nowMs += ms
    },
  }
}

describe('followTargets', () => {
  it('applies a newer list of a peer', async () => {
    const test = await follow([target('a')])
    test.setFreshReader(true)
    await test.settle()
    test.advance(800)
    test.follower.applyPeerList([target('a'), target('b')], 50, 'peer')
    assert.deepEqual(test.ready(), ['a', 'b'])
    assert.equal(test.follower.ageMs(), 50)
    test.follower.stop()
  })

  it('ignores a list of a peer that brings back a removed or draining target', async () => {
    const test = await follow([target('a'), target('b')])
    test.changes.push({ key: 'a' }, { key: 'b', value: target('b', true) })
    await test.settle()
    assert.deepEqual(test.ready(), [])
    test.setFreshReader(true)
    await test.settle()
    test.follower.applyPeerList([target('a'), target('b', true)], 0, 'peer')
    test.follower.applyPeerList([target('b')], 0, 'peer')
    assert.deepEqual(test.ready(), [])
    test.follower.stop()
  })

  it('ignores a list of a peer with an earlier start of a target', async () => {
    const test = await follow([{ ...target('a'), startedAtMs: 2 }])
    test.setFreshReader(true)
    await test.settle()
    const earlier = { ...target('a'), startedAtMs: 1, port: 2 }
    test.follower.applyPeerList([earlier, target('b')], 0, 'peer')
    assert.deepEqual(test.ready(), ['a'])
    test.follower.stop()
  })

  it('adds a removed target again when the source lists it', async () => {
    const test = await follow([target('a')])
    test.changes.push({ key: 'a' })
    await test.settle()
    test.changes.push({ key: 'a', value: target('a') })
    await test.settle()
    assert.deepEqual(test.ready(), ['a'])
    test.follower.stop()
  })

  it('polls the source after an invalidation even if a peer is a fresh reader', async () => {
    const test = await follow([target('a')])
    test.setFreshReader(true)
    await test.settle()
    test.changes.push({ key: 'a', value: target('a', true) })
    await test.settle()
    assert.deepEqual(test.ready(), ['a'])
    test.follower.invalidate()
    assert.equal(test.follower.ageMs(), Infinity)
    // A follower with a fresh reader checks again after 250 ms.
    await new Promise((resolve) => setTimeout(resolve, 300))
    await test.settle()
    assert.deepEqual(test.ready(), [])
    test.follower.stop()
  })

  for (const { title, fleetOutageMs, remaining } of [
    {
      title:
        'drops a target at once if peers could read the source in the outage',
      fleetOutageMs: 1_000,
      remaining: [],
    },
    {
      title: 'waits for lost entries after an outage of the whole fleet',
      fleetOutageMs: 8_000,
      remaining: ['a'],
    },
  ])
    it(title, async () => {
      const test = await follow([target('a')])
      await test.outage(fleetOutageMs)
      test.changes.push({ key: 'a' })
      // An unavailable source is polled again after 250 ms.
      await new Promise((resolve) => setTimeout(resolve, 300))
      await test.settle()
      assert.deepEqual(test.ready(), remaining)
      test.follower.stop()
    })

  it('drops a target at once when it takes over long after an outage that peers had covered', async () => {
    const test = await follow([target('a')])
    await test.outage(1_000)
    // A peer polls for this router from here until it is lost.
    test.setFreshReader(true)
    for (let i = 0; i < 10; i += 1) {
      test.follower.confirm(0)
      test.advance(1_000)
    }
    test.advance(1_000)
    test.setFreshReader(false)
    test.changes.push({ key: 'a' })
    await new Promise((resolve) => setTimeout(resolve, 300))
    await test.settle()
    assert.deepEqual(test.ready(), [])
    test.follower.stop()
  })
})
