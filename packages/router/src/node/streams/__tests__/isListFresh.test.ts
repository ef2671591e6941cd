import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { testRoute } from '../../configuration/__tests__/testConfiguration.js'
import { RequestKind } from '../../configuration/requestKind.js'
import { testCall } from '../../callers/__tests__/testCall.js'
import { createTargetList } from '../../targets/createTargetList.js'
import type { Target } from '../../targets/target.js'
import { createResumableStreams } from '../createResumableStreams.js'
import { isListFresh } from '../isListFresh.js'

const SERVICE = 'service'
const CUT_AT_MS = 100_000
/** A poll of the list may take this long. */
const POLL_MS = 800
/** Longest pause of the process that nothing notices. */
const PAUSE_MS = 700

function target(id: string, softwareVersion: string): Target {
  const address = { host: '10.0.0.1', port: 1 }
  const service = SERVICE
  return { id, service, ...address, slots: 1, softwareVersion, draining: false }
}

const call = testCall({
  service: SERVICE,
  route: testRoute({ kind: RequestKind.Stream, resumable: true }),
})

function createRouter(clock: { nowMs: number }, ageMs: () => number) {
  const targetList = createTargetList(0, () => clock.nowMs)
  const streams = createResumableStreams({
    targetList,
    startsFleet: true,
    isListLoaded: () => true,
    isListFresh: () => isListFresh(ageMs()),
    lifetimeMs: () => 30_000,
    now: () => clock.nowMs,
  })
  targetList.set(target('old', 'v1'))
  streams.findVersion(SERVICE, undefined)
  return { targetList, streams }
}

describe('isListFresh', () => {
  it('trusts no list after a pause of the process until it is read again', () => {
    assert.ok(!isListFresh(Infinity))
  })

  /** Guards against a stream that goes on at another version at a router that is out of step (issue 44). */
  it('lets no router infer a version while another one begins streams at a newer version', () => {
    const ms = (max: number) => fc.integer({ min: 0, max })
    fc.assert(
      fc.property(
        ms(POLL_MS),
        ms(PAUSE_MS),
        ms(500),
        ms(8_000),
        (pollMs, pauseMs, learnMs, askedMs) => {
          const clock = { nowMs: 0 }
          // Cut off from now on: the last poll was answered from a list without the new version.
          const confirmedAtMs = CUT_AT_MS + pollMs + pauseMs
          const cutOff = createRouter(clock, () => clock.nowMs - confirmedAtMs)
          const other = createRouter(clock, () => 0)
          const joined = target('new', 'v2')
          clock.nowMs = CUT_AT_MS + learnMs
          other.targetList.set(joined)
          const knownBefore = other.streams.mayBegin(call, joined)
          assert.ok(!knownBefore)
          clock.nowMs = Math.max(clock.nowMs, CUT_AT_MS + askedMs)
          const inferred = cutOff.streams.findVersion(SERVICE, 'other')
          if (other.streams.mayBegin(call, joined))
            assert.equal(inferred, undefined)
          else if (askedMs < 1_000) assert.equal(inferred, 'v1')
        },
      ),
      { seed: 44, numRuns: 500 },
    )
  })

  it('is the only reason to infer a version, whatever peers are alive', () => {
    const clock = { nowMs: 40_000 }
    let ageMs = 0
    const { streams } = createRouter(clock, () => ageMs)
    assert.equal(streams.findVersion(SERVICE, 'other'), 'v1')
    ageMs = 2_000
    assert.equal(streams.findVersion(SERVICE, 'other'), undefined)
  })

  it('makes a router report its streams while the list is out of date', () => {
    const clock = { nowMs: 40_000 }
    let ageMs = 0
    const { streams } = createRouter(clock, () => ageMs)
    streams.recordSent(call, 'v1')
    assert.equal(streams.takeUpdates().length, 0)
    ageMs = 2_000
    assert.equal(streams.takeUpdates().length, 1)
  })
})
