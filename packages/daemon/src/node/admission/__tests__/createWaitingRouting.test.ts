import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  type Configuration,
  configurationSchema,
  FailureCode,
  ServiceKind,
} from '@auburnbay/core'
import { err, ok } from 'neverthrow'
import { createFailure } from '../../callers/createFailure.js'
import type { RoutedRequest } from '../../callers/routedRequest.js'
import type { TargetSlot, Routing } from '../../routing/routing.js'
import type { Admission } from '../admission.js'
import { createWaitingRouting } from '../createWaitingRouting.js'

const cfg: Configuration = configurationSchema.parse({
  services: { briefing: { kind: ServiceKind.Model } },
  targets: {
    'engine-1': {
      service: 'briefing',
      address: '127.0.0.1:1',
      dataCentre: 'dc-1',
    },
  },
})

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

function setUp(fullAttempts: number) {
  const seen = { attempts: 0, pauses: 0, released: 0 }
  const slot: TargetSlot = {
    target: { id: 'engine-1', address: '127.0.0.1:1' },
    release: () => {
      seen.released += 1
    },
  }
  const routing: Pick<Routing, 'selectTarget'> = {
    selectTarget: () => {
      seen.attempts += 1
      const full = createFailure(FailureCode.NoTarget, 'full')
      return Promise.resolve(
        seen.attempts > fullAttempts ? ok(slot) : err(full),
      )
    },
  }
  const admission: Pick<Admission, 'pauseDuring'> = {
    async pauseDuring(_service, wait) {
      seen.pauses += 1
      const result = await wait()
      seen.pauses -= 1
      return result
    },
  }
  const waiting = createWaitingRouting({
    routing: routing as Routing,
    admission: admission as Admission,
    configuration: () => cfg,
    maxWaitMs: 10_000,
    epochNow: Date.now,
  })
  return { waiting, seen }
}

describe('createWaitingRouting', () => {
  it('waits while every target is at its bound', async () => {
    const { waiting, seen } = setUp(3)
    const selected = await waiting.selectTarget(request(), new Set())
    assert.ok(selected.isOk())
    assert.deepEqual(seen, { attempts: 4, pauses: 0, released: 0 })
  })

  it('fails as not run when the deadline passes', async () => {
    const { waiting, seen } = setUp(Infinity)
    const deadlineAtMs = Date.now() + 50
    const selected = await waiting.selectTarget(
      request({ deadlineAtMs }),
      new Set(),
    )
    const failure = selected._unsafeUnwrapErr()
    assert.equal(failure.code, FailureCode.DeadlinePassed)
    assert.equal(failure.verdict, 'not-run')
    assert.equal(seen.pauses, 0)
  })

  it('fails when the caller disconnects', async () => {
    const { waiting, seen } = setUp(Infinity)
    const caller = new AbortController()
    const selecting = waiting.selectTarget(
      request({ signal: caller.signal }),
      new Set(),
    )
    caller.abort()
    assert.ok((await selecting).isErr())
    assert.equal(seen.pauses, 0)
  })

  it('does not wait for a service without targets or in a retry', async () => {
    const { waiting, seen } = setUp(Infinity)
    const unknown = await waiting.selectTarget(
      request({ service: 'x' }),
      new Set(),
    )
    const retry = await waiting.selectTarget(request(), new Set(['engine-1']))
    assert.ok(unknown.isErr() && retry.isErr())
    assert.equal(seen.attempts, 2)
  })
})
