import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createTargetList } from '../createTargetList.js'
import type { Target } from '../target.js'

const REJOIN_MS = 2_000
const DRAIN_MS = 2_000
const NOW_MS = 10_002

function target(id: string, fields: Partial<Target> = {}): Target {
  return {
    id,
    service: 's',
    host: '10.0.0.1',
    port: 1,
    slots: 4,
    softwareVersion: 'v1',
    draining: false,
    ...fields,
  }
}

const ids = (targets: readonly Target[]): string[] =>
  targets.map(({ id }) => id)

describe('createTargetList', () => {
  it('excludes a draining target at once', () => {
    const list = createTargetList(REJOIN_MS, () => DRAIN_MS)
    list.set(target('a'))
    list.set(target('b'))
    list.set(target('a', { draining: true }))
    assert.deepEqual(ids(list.ready('s', NOW_MS)), ['b'])
    assert.equal(list.find('a')?.draining, true)
  })

  it('excludes one start of a target that leaves, until it starts again', () => {
    const list = createTargetList(REJOIN_MS, () => DRAIN_MS)
    list.set(target('a', { startedAtMs: 1 }))
    const fingerprint = list.fingerprint()
    list.markLeaving({ id: 'a', startedAtMs: 1 }, 1)
    list.set(target('a', { startedAtMs: 1, slots: 5 }))
    assert.deepEqual(list.ready('s', NOW_MS), [])
    list.set(target('a', { startedAtMs: 1 }))
    assert.equal(list.fingerprint(), fingerprint)
    list.set(target('a', { startedAtMs: 2 }))
    assert.deepEqual(ids(list.ready('s', NOW_MS)), ['a'])
  })

  it('drops a target whose entry was removed', () => {
    const list = createTargetList(REJOIN_MS, () => DRAIN_MS)
    list.set(target('a'))
    list.remove('a', 1)
    assert.deepEqual(list.ready('s', NOW_MS), [])
  })

  it('keeps targets after an outage until the rejoin window ends', () => {
    const list = createTargetList(REJOIN_MS, () => DRAIN_MS)
    for (const id of ['a', 'b']) list.set(target(id))
    list.startRejoinWindow(10_000)
    for (const id of ['a', 'b']) list.remove(id, 10_001)
    assert.deepEqual(ids(list.ready('s', NOW_MS)), ['a', 'b'])
    list.set(target('a'))
    const lastMs = 10_000 + REJOIN_MS
    assert.deepEqual(ids(list.ready('s', lastMs - 0.1)), ['a', 'b'])
    assert.deepEqual(ids(list.ready('s', lastMs)), ['a'])
  })

  it('excludes a draining target also within the rejoin window', () => {
    const list = createTargetList(REJOIN_MS, () => DRAIN_MS)
    list.set(target('a'))
    list.startRejoinWindow(0)
    list.set(target('a', { draining: true }))
    assert.deepEqual(list.ready('s', NOW_MS), [])
  })

  it('has the same fingerprint for the same targets in any order', () => {
    const first = createTargetList(REJOIN_MS, () => DRAIN_MS)
    const second = createTargetList(REJOIN_MS, () => DRAIN_MS)
    for (const id of ['a', 'b']) first.set(target(id))
    for (const id of ['b', 'c', 'a']) second.set(target(id))
    assert.notEqual(first.fingerprint(), second.fingerprint())
    second.remove('c', 0)
    assert.equal(first.fingerprint(), second.fingerprint())
    second.set(target('a', { draining: true }))
    assert.notEqual(first.fingerprint(), second.fingerprint())
  })
})
