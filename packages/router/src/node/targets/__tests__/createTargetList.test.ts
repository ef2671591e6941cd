import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createTargetList } from '../createTargetList.js'
import type { Target } from '../target.js'

const REJOIN_MS = 2_000
const NOW_MS = 10_002

function target(id: string, fields: Partial<Target> = {}): Target {
  return {
    id,
    service: 's',
    host: '10.0.0.1',
    port: 1,
    slots: 4,
    draining: false,
    ...fields,
  }
}

const ids = (targets: readonly Target[]): string[] =>
  targets.map(({ id }) => id)

describe('createTargetView', () => {
  it('gives no work to a target that leaves, at once', () => {
    const view = createTargetList(REJOIN_MS)
    view.set(target('a'))
    view.set(target('b'))
    view.set(target('a', { draining: true }))
    assert.deepEqual(ids(view.ready('s', NOW_MS)), ['b'])
    assert.equal(view.find('a')?.draining, true)
  })

  it('drops a target whose entry went', () => {
    const view = createTargetList(REJOIN_MS)
    view.set(target('a'))
    view.remove('a', 1)
    assert.deepEqual(view.ready('s', NOW_MS), [])
  })

  it('waits after an outage for entries that it lost', () => {
    const view = createTargetList(REJOIN_MS)
    for (const id of ['a', 'b']) view.set(target(id))
    view.startRejoinWindow(10_000)
    for (const id of ['a', 'b']) view.remove(id, 10_001)
    assert.deepEqual(ids(view.ready('s', NOW_MS)), ['a', 'b'])
    view.set(target('a'))
    const lastMs = 10_000 + REJOIN_MS
    assert.deepEqual(ids(view.ready('s', lastMs - 0.1)), ['a', 'b'])
    assert.deepEqual(ids(view.ready('s', lastMs)), ['a'])
  })

  it('takes a target that leaves out, also while it waits', () => {
    const view = createTargetList(REJOIN_MS)
    view.set(target('a'))
    view.startRejoinWindow(0)
    view.set(target('a', { draining: true }))
    assert.deepEqual(view.ready('s', NOW_MS), [])
  })

  it('has one fingerprint for the same targets, however they came', () => {
    const one = createTargetList(REJOIN_MS)
    const other = createTargetList(REJOIN_MS)
    for (const id of ['a', 'b']) one.set(target(id))
    for (const id of ['b', 'c', 'a']) other.set(target(id))
    assert.notEqual(one.fingerprint(), other.fingerprint())
    other.remove('c', 0)
    assert.equal(one.fingerprint(), other.fingerprint())
    other.set(target('a', { draining: true }))
    assert.notEqual(one.fingerprint(), other.fingerprint())
  })
})
