import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createTargetList } from '../../targets/createTargetList.js'
import type { Target } from '../../targets/target.js'
import type { CallProgress } from '../callProgress.js'
import { BreakPoint, createCrashReporter } from '../createCrashReporter.js'
import { testCall } from './testCall.js'

const TARGETS = 10

function targetOf(i: number): Target {
  return {
    id: `i-${i}`,
    service: 'service',
    host: '10.0.0.1',
    port: i,
    slots: 1,
    softwareVersion: 'v1',
    draining: false,
  }
}

const TARGET = targetOf(1)
const PROGRESS = { sentAtMs: 0, traits: ['a'] } as unknown as CallProgress

function createPlay(hasCrashed = true) {
  const targetList = createTargetList(0, () => 0)
  for (let i = 1; i <= TARGETS; i += 1) targetList.set(targetOf(i))
  const clock = { nowMs: 0 }
  const counts = { confirmations: 0, crashes: 0 }
  const report = createCrashReporter({
    harmfulTraits: {
      recordCrash: () => {
        counts.crashes += 1
      },
    },
    targetList,
    confirmCrash: () => {
      counts.confirmations += 1
      return Promise.resolve(hasCrashed)
    },
    now: () => clock.nowMs,
  })
  async function breakOff(breakPoint: BreakPoint): Promise<void> {
    report(testCall(), TARGET, PROGRESS, breakPoint)
    await new Promise(setImmediate)
  }
  return { clock, targetList, counts, report, breakOff }
}

describe('createCrashReporter', () => {
  it('records a crash wherever it breaks off the response', async () => {
    const { counts, breakOff } = createPlay()
    await breakOff(BreakPoint.Start)
    await breakOff(BreakPoint.Stream)
    assert.equal(counts.crashes, 2)
  })

  // Guards against a release after which sound requests are refused.
  it('records no crash of a target that ends as planned and breaks off its last streams', async () => {
    const { targetList, counts, breakOff } = createPlay()
    targetList.set({ ...TARGET, draining: true })
    await breakOff(BreakPoint.Stream)
    targetList.set(TARGET)
    targetList.markLeaving(TARGET, 0)
    await breakOff(BreakPoint.Stream)
    targetList.remove(TARGET.id, 0)
    await breakOff(BreakPoint.Stream)
    assert.equal(counts.crashes, 0)
  })

  it('records no crash of a target that resets a connection and serves on', async () => {
    const { counts, breakOff } = createPlay(false)
    await breakOff(BreakPoint.Stream)
    assert.deepEqual(counts, { confirmations: 1, crashes: 0 })
  })

  it('confirms the crash of a target once for all responses that it breaks off', async () => {
    const { counts, report, breakOff } = createPlay()
    for (let i = 0; i < 20; i += 1)
      report(testCall(), TARGET, PROGRESS, BreakPoint.Stream)
    await breakOff(BreakPoint.Stream)
    assert.deepEqual(counts, { confirmations: 1, crashes: 21 })
  })

  // Guards against a flood of reports when a rack or a data centre fails.
  it('records the streams of three targets that fail together, and of others later', async () => {
    const { clock, counts, report } = createPlay()
    async function breakOffAll(): Promise<void> {
      for (let i = 1; i <= TARGETS; i += 1)
        report(testCall(), targetOf(i), PROGRESS, BreakPoint.Stream)
      await new Promise(setImmediate)
    }
    await breakOffAll()
    assert.equal(counts.crashes, 3)
    clock.nowMs = 1_500
    await breakOffAll()
    assert.equal(counts.crashes, 6)
  })
})
