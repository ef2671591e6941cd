import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Target } from '../../targets/target.js'
import { createVersionHistory } from '../createVersionHistory.js'

const LIFETIME_MS = 1_000

function target(service: string, softwareVersion: string): Target {
  const id = `${service}-${softwareVersion}`
  const address = { host: '10.0.0.1', port: 1 }
  return { id, service, ...address, slots: 1, softwareVersion, draining: false }
}

function createHistory() {
  return createVersionHistory(() => LIFETIME_MS)
}

describe('createVersionHistory', () => {
  it('names no version before it covers the lifetime of a stream', () => {
    const history = createHistory()
    history.observe([target('a', 'v1')], 0)
    assert.equal(history.soleVersion('a', LIFETIME_MS - 1), undefined)
    assert.equal(history.soleVersion('a', LIFETIME_MS), 'v1')
  })

  it('names no version while two are listed, nor while streams of one that has left may be resumed', () => {
    const history = createHistory()
    history.observe([target('a', 'v1')], 0)
    history.observe([target('a', 'v1'), target('a', 'v2')], 2_000)
    assert.equal(history.soleVersion('a', 2_500), undefined)
    history.observe([target('a', 'v2')], 3_000)
    assert.equal(history.soleVersion('a', 4_000), undefined)
    assert.equal(history.soleVersion('a', 4_001), 'v2')
  })

  it('keeps services apart', () => {
    const history = createHistory()
    history.observe([target('a', 'v1'), target('b', 'v2')], 0)
    assert.equal(history.soleVersion('a', 1_000), 'v1')
    assert.equal(history.soleVersion('b', 1_000), 'v2')
    assert.equal(history.soleVersion('c', 1_000), undefined)
  })

  it('learns what was listed before its start from a peer', () => {
    const established = createHistory()
    established.observe([target('a', 'v1'), target('b', 'v1')], 0)
    established.observe([target('a', 'v1'), target('b', 'v2')], 1_900)
    const started = createHistory()
    started.observe([target('a', 'v1'), target('b', 'v2')], 2_000)
    assert.equal(started.soleVersion('a', 2_000), undefined)
    started.merge(established.state(2_000), 2_000)
    assert.equal(started.soleVersion('a', 2_000), 'v1')
    assert.equal(started.soleVersion('b', 2_000), undefined)
  })
})
