import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { StatementKind } from '../../metrics/routerMetrics.js'
import { createSharedRecords } from '../../peers/createSharedRecords.js'
import { createTargetList, type TargetList } from '../createTargetList.js'
import {
  createTargetStatements,
  type TargetStatements,
} from '../createTargetStatements.js'

const TARGET = {
  id: 'a',
  startedAtMs: 1,
  service: 's',
  host: '10.0.0.1',
  port: 1,
  slots: 4,
  softwareVersion: 'v1',
  draining: false,
}
const SAID = { leaving: false, namesAllLimits: true }
const TIME_OF_DAY_MS = 1_000_000

describe('createTargetStatements', () => {
  let nowMs: number
  let kinds: StatementKind[]
  let statements: TargetStatements
  let targetList: TargetList

  beforeEach(() => {
    nowMs = 0
    kinds = []
    const now = () => nowMs
    targetList = createTargetList(
      1_000,
      () => 1_000,
      (dataCentre) => dataCentre === 'evacuated',
    )
    targetList.set(TARGET)
    statements = createTargetStatements({
      records: createSharedRecords({
        origin: 'r',
        lifetimeMs: 1_000,
        onUpdate: () => undefined,
        now,
      }),
      targetList,
      coldTargets: {
        limitPerS: () => undefined,
        recordListed: () => undefined,
        recordPossibleStart: () => undefined,
        count: () => 0,
      },
      coldBurstOf: () => 1,
      metrics: { recordStatement: (kind) => kinds.push(kind) },
      router: 'r',
      routers: () => ['r'],
      inFlight: () => 0,
      log: { write: () => undefined },
      now,
      timeOfDay: () => TIME_OF_DAY_MS,
    })
  })

  it('accepts requests for a target that says nothing against them', () => {
    statements.observe(TARGET, SAID)
    assert.ok(statements.acceptsRequests(TARGET))
    assert.deepEqual(kinds, [])
  })

  it('accepts none for a target that leaves, until it starts again', () => {
    statements.observe(TARGET, { ...SAID, leaving: true })
    statements.observe(TARGET, SAID)
    assert.ok(!statements.acceptsRequests(TARGET))
    const restarted = { ...TARGET, startedAtMs: TIME_OF_DAY_MS + 1 }
    targetList.set(restarted)
    assert.ok(statements.acceptsRequests(restarted))
    assert.deepEqual(kinds, [StatementKind.Leaving])
  })

  it('accepts none for a target that has left the list since it was chosen', () => {
    targetList.set({ ...TARGET, draining: true })
    assert.ok(!statements.acceptsRequests(TARGET))
    targetList.set(TARGET)
    assert.ok(statements.acceptsRequests(TARGET))
    targetList.set({ ...TARGET, startedAtMs: 2 })
    assert.ok(!statements.acceptsRequests(TARGET))
    targetList.set({ ...TARGET, port: 2 })
    assert.ok(!statements.acceptsRequests(TARGET))
    targetList.set(TARGET)
    targetList.remove(TARGET.id, nowMs)
    assert.ok(!statements.acceptsRequests(TARGET))
  })

  it('accepts none for a target in an evacuated data centre', () => {
    const evacuated = { ...TARGET, dataCentre: 'evacuated' }
    targetList.set(evacuated)
    assert.ok(!statements.acceptsRequests(evacuated))
  })

  it('accepts none for a target that wants rest, for that time', () => {
    statements.observe(TARGET, { ...SAID, pauseS: 2 })
    statements.observe(TARGET, { ...SAID, pauseS: 1 })
    nowMs = 1_999
    assert.ok(!statements.acceptsRequests(TARGET))
    assert.ok(!statements.limits.maySend(TARGET))
    nowMs = 2_000
    assert.ok(statements.acceptsRequests(TARGET))
    assert.deepEqual(kinds, [StatementKind.Pause, StatementKind.Pause])
  })
})
