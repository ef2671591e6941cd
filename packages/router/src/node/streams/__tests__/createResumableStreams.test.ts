import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { testRoute } from '../../configuration/__tests__/testConfiguration.js'
import { RequestKind } from '../../configuration/requestKind.js'
import { testCall } from '../../callers/__tests__/testCall.js'
import { createTargetList } from '../../targets/createTargetList.js'
import type { Target } from '../../targets/target.js'
import {
  createResumableStreams,
  type ResumableStreamsOptions,
} from '../createResumableStreams.js'

const SERVICE = 'service'
const LIFETIME_MS = 1_000

function target(id: string, softwareVersion: string): Target {
  const address = { host: '10.0.0.1', port: 1 }
  const service = SERVICE
  return { id, service, ...address, slots: 1, softwareVersion, draining: false }
}

function createPlay(options: Partial<ResumableStreamsOptions> = {}) {
  const clock = { nowMs: 0 }
  const targetList = createTargetList(0, () => 0)
  const streams = createResumableStreams({
    targetList,
    startsFleet: false,
    isListLoaded: () => true,
    isListFresh: () => true,
    lifetimeMs: () => LIFETIME_MS,
    now: () => clock.nowMs,
    ...options,
  })
  return { clock, targetList, streams }
}

const call = testCall({
  service: SERVICE,
  route: testRoute({ kind: RequestKind.Stream, resumable: true }),
})

describe('createResumableStreams', () => {
  it('tells the version of an unrecorded stream when no stream is older than the fleet', () => {
    const { streams, targetList } = createPlay({ startsFleet: true })
    targetList.set(target('a', 'v1'))
    assert.equal(streams.findVersion(SERVICE, undefined), 'v1')
    targetList.set(target('b', 'v2'))
    assert.equal(streams.findVersion(SERVICE, undefined), undefined)
  })

  it('tells no version of an unrecorded stream right after a start, nor from a list that is out of date', () => {
    const { clock, streams, targetList } = createPlay()
    targetList.set(target('a', 'v1'))
    assert.equal(streams.findVersion(SERVICE, 'other'), undefined)
    clock.nowMs = LIFETIME_MS
    assert.equal(streams.findVersion(SERVICE, 'other'), 'v1')
    const outdated = createPlay({
      startsFleet: true,
      isListFresh: () => false,
    })
    outdated.targetList.set(target('a', 'v1'))
    assert.equal(outdated.streams.findVersion(SERVICE, 'other'), undefined)
  })

  it('hands recorded streams to a router that starts', () => {
    const { streams, targetList } = createPlay({ startsFleet: true })
    const first = target('a', 'v1')
    targetList.set(first)
    targetList.set(target('b', 'v2'))
    streams.recordSent(call, first.softwareVersion)
    const started = createPlay()
    started.targetList.set(target('b', 'v2'))
    const { attemptId } = call.request
    assert.equal(started.streams.findVersion(SERVICE, attemptId), undefined)
    started.streams.applyState(streams.state())
    assert.equal(started.streams.findVersion(SERVICE, attemptId), 'v1')
    assert.equal(started.streams.findVersion(SERVICE, 'other'), undefined)
  })

  it('records no stream that may not be resumed', () => {
    const { streams, targetList } = createPlay({ startsFleet: true })
    const first = target('a', 'v1')
    targetList.set(first)
    targetList.set(target('b', 'v2'))
    streams.recordSent(testCall({ service: SERVICE }), first.softwareVersion)
    assert.deepEqual(streams.takeUpdates(), [])
    streams.recordSent(call, first.softwareVersion)
    assert.equal(streams.takeUpdates().length, 1)
  })
})
