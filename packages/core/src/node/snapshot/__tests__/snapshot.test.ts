import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { applyLogPage } from '../../configuration/applyLogPage.js'
import { createConfigurationState } from '../../configuration/configurationState.js'
import { ConfigurationProblemKind } from '../../configuration/configurationProblem.js'
import { restoreSnapshot } from '../restoreSnapshot.js'
import { chooseSnapshot } from '../chooseSnapshot.js'
import { createSnapshot, moveSnapshot } from '../createSnapshot.js'
import { scheduleSnapshot, type SnapshotSchedule } from '../snapshotSchedule.js'

function stateOf(patches: number, logId = 'log-1') {
  const records = Array.from({ length: patches }, (_, offset) => ({
    offset,
    value: {
      type: 'patch',
      schema: 1,
      patchId: `p-${offset}`,
      baseVersion: offset,
      author: 'x',
      operations: [{ op: 'replace', path: '/defaultRank', value: offset % 9 }],
    },
  }))
  const page = { logId, firstOffset: 0, nextOffset: patches, records }
  return applyLogPage(createConfigurationState(), page).state
}

describe('restoreSnapshot', () => {
  it('restores the state of the writer on a new router', () => {
    const written: unknown = JSON.parse(
      JSON.stringify(createSnapshot(stateOf(5))),
    )
    const restored = restoreSnapshot(createConfigurationState(), written)
    assert.deepEqual(restored._unsafeUnwrap(), stateOf(5))
  })

  it('rejects an older snapshot, a damaged one and one with another digest', () => {
    const older = restoreSnapshot(stateOf(5), createSnapshot(stateOf(4)))
    const damaged = restoreSnapshot(createConfigurationState(), {
      ...createSnapshot(stateOf(4)),
      version: 9,
    })
    const other = { ...stateOf(5), digest: 'other' }
    const differing = restoreSnapshot(stateOf(5), createSnapshot(other))
    assert.deepEqual(
      [older, damaged, differing].map((each) => each._unsafeUnwrapErr().kind),
      [
        ConfigurationProblemKind.SnapshotOlder,
        ConfigurationProblemKind.SnapshotBroken,
        ConfigurationProblemKind.DigestDiffers,
      ],
    )
  })

  it('keeps the version when a snapshot was moved to a new log', () => {
    const moved = moveSnapshot(stateOf(5), 'log-2', 3, 'operator')
    const restored = restoreSnapshot(stateOf(5), moved)._unsafeUnwrap()
    assert.equal(restored.logId, 'log-2')
    assert.equal(restored.version, 5)
    assert.equal(restored.nextOffset, 3)
  })
})

describe('moveSnapshot', () => {
  it('repairs a truncated log only after the problem was detected', () => {
    const moved = moveSnapshot(stateOf(5), 'log-1', 3, 'operator')
    const healthy = restoreSnapshot(stateOf(5), moved)
    assert.ok(healthy.isErr())
    const kind = ConfigurationProblemKind.LogShortened
    const broken = { ...stateOf(5), problem: { kind, message: '' } }
    assert.equal(restoreSnapshot(broken, moved)._unsafeUnwrap().nextOffset, 3)
  })
})

describe('chooseSnapshot', () => {
  it('chooses the newest snapshot of this log', () => {
    const values = [stateOf(3), stateOf(6), stateOf(4), stateOf(9, 'log-2')]
    const { state } = chooseSnapshot(
      stateOf(2),
      'log-1',
      values.map(createSnapshot),
    )
    assert.equal(state?.version, 6)
  })
})

describe('two concurrent moves', () => {
  it('keep the first one', () => {
    const first = moveSnapshot(stateOf(5), 'log-2', 2, 'one')
    const second = moveSnapshot(stateOf(5), 'log-2', 4, 'two')
    const { state } = chooseSnapshot(stateOf(5), 'log-2', [first, second])
    assert.equal(state?.nextOffset, 2)
  })
})

describe('scheduleSnapshot', () => {
  const routers = ['r-1', 'r-2', 'r-3']
  const hour = 3_600_000

  function writersWithin(ms: number): string[] {
    return routers.filter((router) => {
      let schedule: SnapshotSchedule = {}
      for (let nowMs = 0; nowMs <= ms; nowMs += 500) {
        const step = scheduleSnapshot(schedule, {
          version: 5,
          nextOffset: 5,
          router,
          liveRouters: routers,
          retentionMs: 24 * hour,
          nowMs,
        })
        if (step.write) return true
        schedule = step.schedule
      }
      return false
    })
  }

  it('lets one router write first and the others only if it fails', () => {
    assert.equal(writersWithin(3_000).length, 1)
    assert.equal(writersWithin(60_000).length, 3)
  })

  it('renews a snapshot after a quarter of the retention time', () => {
    const base = {
      version: 5,
      nextOffset: 5,
      router: 'r-1',
      liveRouters: [],
      retentionMs: 24 * hour,
    }
    const last = { version: 5, nextOffset: 5, atMs: 0 }
    const due = (nowMs: number) =>
      scheduleSnapshot({}, { ...base, last, nowMs }).schedule.dueSinceMs
    assert.equal(due(5 * hour), undefined)
    assert.equal(due(6 * hour), 6 * hour)
  })
})
