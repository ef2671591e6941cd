import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createServiceHealth, HealthChange } from '../createServiceHealth.js'
import { TargetOutcome } from '../targetOutcome.js'
import { CircuitState } from '../targetState.js'

const OPTIONS = {
  consecutiveFailures: 3,
  rateOutcomes: 10,
  maxRateGap: 0.3,
  baseHoldMs: 100,
  maxHoldMs: 1_000,
  maxEjectedShare: 0.5,
}
const TARGETS = ['a', 'b', 'c', 'd']
const { Success, Failure, Refused, Unknown } = TargetOutcome

function setUp(targets = TARGETS) {
  const health = createServiceHealth(OPTIONS)
  health.setTargets(targets)
  const fail = (target: string, nowMs: number, times = 3) => {
    let change = HealthChange.None
    for (let index = 0; index < times; index += 1)
      change = health.recordOutcome(target, Failure, nowMs)
    return change
  }
  return { health, fail }
}

describe('createServiceHealth', () => {
  it('ejects after consecutive failures, and restarts the count at a success', () => {
    const { health, fail } = setUp()
    fail('a', 0, 2)
    health.recordOutcome('a', Success, 0)
    fail('a', 0, 2)
    assert.ok(health.isEligible('a', true, 0))
    assert.equal(fail('a', 0, 1), HealthChange.Ejected)
    assert.ok(!health.isEligible('a', true, 99))
  })

  it('probes with one idempotent request and recovers', () => {
    const { health, fail } = setUp()
    fail('a', 0)
    assert.ok(!health.isEligible('a', false, 100))
    assert.ok(health.isEligible('a', true, 100))
    assert.ok(health.recordStart('a', 100))
    assert.ok(!health.isEligible('a', true, 101))
    assert.ok(!health.recordStart('a', 101))
    assert.equal(
      health.recordOutcome('a', Success, 110, true),
      HealthChange.Recovered,
    )
    assert.ok(health.isEligible('a', false, 110))
  })

  it('probes again if the outcome of the probe is unknown', () => {
    const { health, fail } = setUp()
    fail('a', 0)
    health.recordStart('a', 100)
    health.recordOutcome('a', Unknown, 120, true)
    assert.ok(health.isEligible('a', true, 120))
  })

  it('does not close the circuit for a request sent before the ejection', () => {
    const { health, fail } = setUp()
    fail('a', 0)
    health.recordStart('a', 140)
    assert.equal(health.recordOutcome('a', Success, 150), HealthChange.None)
    assert.equal(health.circuit('a', 150), CircuitState.HalfOpen)
  })

  it('doubles the hold-down up to its limit, and resets it after long health', () => {
    const { health, fail } = setUp()
    const holds: number[] = []
    let nowMs = 0
    fail('a', nowMs)
    for (let round = 0; round < 6; round += 1) {
      const from = nowMs
      while (health.circuit('a', nowMs) === CircuitState.Open) nowMs += 10
      holds.push(nowMs - from)
      health.recordStart('a', nowMs)
      health.recordOutcome('a', Failure, nowMs, true)
    }
    assert.deepEqual(holds, [100, 200, 400, 800, 1_000, 1_000])
    nowMs += 1_000
    health.recordStart('a', nowMs)
    health.recordOutcome('a', Success, nowMs, true)
    fail('a', nowMs + 1_001)
    assert.equal(health.circuit('a', nowMs + 1_100), CircuitState.Open)
    assert.equal(health.circuit('a', nowMs + 1_101), CircuitState.HalfOpen)
  })

  it('ejects a target that fails far more often than its peers', () => {
    const { health } = setUp()
    let ejectedAt = -1
    for (let index = 0; index < 60 && ejectedAt < 0; index += 1) {
      for (const target of ['b', 'c', 'd'])
        health.recordOutcome(target, Success, index)
      const outcome = index % 2 === 0 ? Failure : Success
      if (health.recordOutcome('a', outcome, index) === HealthChange.Ejected)
        ejectedAt = index
    }
    assert.ok(ejectedAt >= OPTIONS.rateOutcomes - 1)
    assert.ok(health.isEligible('b', true, 60))
  })

  it('keeps targets that are all full, and ejects one that alone refuses requests', () => {
    const full = setUp().health
    const changes = new Set<HealthChange>()
    for (let index = 0; index < 100; index += 1)
      for (const target of TARGETS)
        changes.add(
          full.recordOutcome(target, index % 4 ? Refused : Success, index),
        )
    assert.deepEqual([...changes], [HealthChange.None])
    const { health } = setUp()
    // Success rates are compared once there are enough outcomes.
    for (let index = 0; index <= OPTIONS.rateOutcomes; index += 1)
      for (const target of TARGETS)
        health.recordOutcome(target, target === 'a' ? Refused : Success, index)
    assert.ok(!health.isEligible('a', true, OPTIONS.rateOutcomes))
  })

  it('does not eject more than the share if all targets fail together', () => {
    const { fail } = setUp()
    const changes = TARGETS.map((target) => fail(target, 0))
    const ejected = changes.filter((change) => change === HealthChange.Ejected)
    assert.equal(ejected.length, 2)
    const single = setUp(['only'])
    assert.equal(single.fail('only', 0, 20), HealthChange.None)
  })

  it('never ejects more than the share for any sequence of events', () => {
    const event = fc.record({
      target: fc.constantFrom(...TARGETS, 'unlisted'),
      outcome: fc.constantFrom(Failure, Failure, Success, Refused, Unknown),
      pauseMs: fc.nat(60),
      idempotent: fc.boolean(),
    })
    const property = fc.property(
      fc.array(event, { maxLength: 200 }),
      (events) => {
        const { health } = setUp()
        let nowMs = 0
        for (const { target, outcome, pauseMs, idempotent } of events) {
          nowMs += pauseMs
          let isProbe = false
          if (health.isEligible(target, idempotent, nowMs)) {
            const isHalfOpen =
              health.circuit(target, nowMs) === CircuitState.HalfOpen
            assert.ok(!isHalfOpen || idempotent)
            isProbe = health.recordStart(target, nowMs)
            assert.ok(!isHalfOpen || !health.isEligible(target, true, nowMs))
          }
          health.recordOutcome(target, outcome, nowMs, isProbe)
          const ejected = TARGETS.filter(
            (id) => health.circuit(id, nowMs) !== CircuitState.Closed,
          )
          assert.ok(ejected.length <= OPTIONS.maxEjectedShare * TARGETS.length)
        }
      },
    )
    fc.assert(property, { seed: 61, numRuns: 300 })
  })

  it('drops the state of removed targets', () => {
    const { health, fail } = setUp()
    fail('a', 0)
    health.setTargets(['b', 'c'])
    health.setTargets(TARGETS)
    assert.ok(health.isEligible('a', false, 0))
  })
})
