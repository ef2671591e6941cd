import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FailureCode, ServiceKind, Verdict } from '@auburnbay/core'
import { createFailure } from '../../callers/createFailure.js'
import type { RoutedRequest } from '../../callers/routedRequest.js'
import type { Metrics } from '../../metrics/metrics.js'
import { createRetries } from '../createRetries.js'

const NOW_MS = 1_000
const { NotRun, MayHaveRun } = Verdict

function request(fields: Partial<RoutedRequest> = {}): RoutedRequest {
  return {
    id: 'r',
    customer: 'corrib',
    service: 'briefing',
    serviceKind: ServiceKind.Model,
    chat: '',
    requestKind: '',
    rank: 5,
    idempotent: true,
    method: 'POST',
    path: '/',
    headers: {},
    body: Buffer.alloc(0),
    signal: new AbortController().signal,
    ...fields,
  }
}

function setUp(reserve: number) {
  const counts: string[] = []
  const metrics: Metrics = {
    count: (name) => {
      counts.push(name)
    },
    gauge: () => undefined,
    timing: () => undefined,
    close: () => Promise.resolve(),
  }
  const settings = { ratio: 0.5, burst: 10, reserve }
  return { counts, retries: createRetries(settings, metrics, () => NOW_MS) }
}

const failure = (code: FailureCode, verdict = NotRun) =>
  createFailure(code, 'failed', verdict)

describe('createRetries', () => {
  it('keeps one budget per service and counts rejected retries', () => {
    const { retries, counts } = setUp(0)
    const down = failure(FailureCode.TargetUnreachable)
    for (let index = 0; index < 4; index += 1)
      retries.recordFirstAttempt(request())
    // The budget that briefing has earned does not apply to charts.
    assert.ok(!retries.tryAcquire(request({ service: 'charts' }), down))
    const acquired = [1, 2, 3].map(() => retries.tryAcquire(request(), down))
    assert.deepEqual(acquired, [true, true, false])
    assert.deepEqual(counts, [
      'retries.refused',
      'retries',
      'retries',
      'retries.refused',
    ])
  })

  it('rejects failures that a retry cannot fix, without charging the budget', () => {
    const { retries, counts } = setUp(10)
    const caller = new AbortController()
    caller.abort()
    const failed = failure(FailureCode.TargetFailed)
    const ran = failure(FailureCode.TargetFailed, MayHaveRun)
    assert.ok(!retries.tryAcquire(request(), failure(FailureCode.NoTarget)))
    assert.ok(!retries.tryAcquire(request(), failure(FailureCode.Overloaded)))
    assert.ok(!retries.tryAcquire(request({ signal: caller.signal }), failed))
    assert.ok(!retries.tryAcquire(request({ deadlineAtMs: NOW_MS }), failed))
    assert.ok(!retries.tryAcquire(request({ idempotent: false }), ran))
    assert.deepEqual(counts, [])
  })
})
