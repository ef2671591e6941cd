import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createStreamVersions } from '../createStreamVersions.js'
import {
  decodeStreamVersions,
  encodeStreamVersions,
  isStreamsOfVersion,
  streamKeyOf,
} from '../streamVersion.js'

const LIFETIME_MS = 1_000

const sent = (attemptId: string, softwareVersion: string) => ({
  attemptId,
  service: 'service',
  softwareVersion,
})

describe('createStreamVersions', () => {
  it('reports streams that began before the service got a second version', () => {
    let hasSeveralVersions = false
    const versions = createStreamVersions({
      lifetimeMs: () => LIFETIME_MS,
      isNeeded: () => hasSeveralVersions,
    })
    versions.record(sent('a', 'v1'), true, 0)
    assert.deepEqual(versions.takeUpdates(100), [])
    hasSeveralVersions = true
    assert.deepEqual(versions.takeUpdates(200), [[streamKeyOf('a'), 'v1']])
    assert.deepEqual(versions.takeUpdates(300), [])
  })

  it('finds own streams and those of peers until they can no longer be resumed', () => {
    const versions = createStreamVersions({
      lifetimeMs: () => LIFETIME_MS,
      isNeeded: () => false,
    })
    versions.record(sent('own', 'v1'), true, 0)
    versions.merge([[streamKeyOf('peer'), 'v2']], 500)
    assert.equal(versions.find('own', 1_000), 'v1')
    assert.equal(versions.find('own', 1_001), undefined)
    assert.equal(versions.find('peer', 1_001), 'v2')
    assert.equal(versions.find('other', 1_001), undefined)
  })

  it('keeps the version of the last target, as no event came from the ones before', () => {
    const versions = createStreamVersions({
      lifetimeMs: () => LIFETIME_MS,
      isNeeded: () => true,
    })
    versions.record(sent('a', 'v1'), true, 0)
    versions.record(sent('a', 'v2'), true, 10)
    assert.equal(versions.find('a', 20), 'v2')
    assert.deepEqual(versions.takeUpdates(20), [[streamKeyOf('a'), 'v2']])
  })

  // Guards against a log that names a version which the stream was sent to before (ORDER after a loss of all routers).
  it('stores a stream of a peer again when it was sent again at another version', () => {
    const versions = createStreamVersions({
      lifetimeMs: () => LIFETIME_MS,
      isNeeded: () => true,
    })
    versions.merge([[streamKeyOf('a'), 'v1']], 0)
    versions.markStored(versions.findUnstored(0))
    versions.merge([[streamKeyOf('a'), 'v1']], 10)
    assert.deepEqual(versions.findUnstored(10), [])
    versions.merge([[streamKeyOf('a'), 'v2']], 20)
    assert.deepEqual(versions.findUnstored(20), [[streamKeyOf('a'), 'v2']])
  })

  it('believes the router that the caller is connected to, not the peer that relays', () => {
    const versions = createStreamVersions({
      lifetimeMs: () => LIFETIME_MS,
      isNeeded: () => true,
    })
    versions.record(sent('own', 'v2'), true, 0)
    versions.record(sent('relayed', 'v1'), false, 0)
    versions.merge([[streamKeyOf('own'), 'v1']], 10)
    versions.merge([[streamKeyOf('relayed'), 'v2']], 10)
    assert.equal(versions.find('own', 20), 'v2')
    assert.equal(versions.find('relayed', 20), 'v2')
  })
})

describe('stream versions in a digest', () => {
  it('are the same after encoding and decoding', () => {
    const streams = [
      [streamKeyOf('a'), 'v1'],
      [streamKeyOf('b'), 'v2'],
      [streamKeyOf('c'), 'v1'],
    ] as const
    const groups = encodeStreamVersions(streams)
    assert.equal(groups.length, 2)
    assert.ok(groups.every(isStreamsOfVersion))
    assert.deepEqual(
      new Map(decodeStreamVersions(groups)),
      new Map(streams.map(([key, version]) => [key, version])),
    )
  })

  it('are rejected with a key that is no number', () => {
    assert.ok(!isStreamsOfVersion(['v1', 'key']))
    assert.ok(!isStreamsOfVersion([1, 2]))
    assert.ok(!isStreamsOfVersion('v1'))
  })
})
