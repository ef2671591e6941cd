import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import {
  CONFIGURATION_STREAM,
  ConfigurationProblemKind,
  SNAPSHOT_STREAM,
} from '@auburnbay/core'
import {
  eventually,
  type Fleet,
  startFleet,
} from '../../__tests__/startFleet.js'
import { callAdmin, getStatus, submitDefaultRank } from './fleetApi.js'

function hasVersion(fleet: Fleet, router: number, version: number) {
  return async () => (await getStatus(fleet, router)).version === version
}

describe('configuration during log failures', () => {
  let fleet: Fleet

  beforeEach(async () => {
    fleet = await startFleet({ routers: 2, engines: 1 })
  })

  afterEach(() => fleet.stop())

  it('gives concurrent patches the same outcome on every router', async () => {
    const responses = await Promise.all([
      submitDefaultRank(fleet, 0, 'left', 1),
      submitDefaultRank(fleet, 1, 'right', 1),
    ])
    assert.deepEqual(responses.map(({ status }) => status).sort(), [200, 409])
    for (const patchId of ['left', 'right']) {
      const path = `/config/patches/${patchId}`
      const first = await callAdmin(fleet, 0, 'GET', path)
      const second = await callAdmin(fleet, 1, 'GET', path)
      assert.deepEqual(first, second)
    }
  })

  it('resolves the outcome of an append whose response was lost', async () => {
    fleet.log.faults.loseReplies = 1
    const response = await submitDefaultRank(fleet, 0, 'once', 1)
    assert.equal(response.status, 200)
    const again = await submitDefaultRank(fleet, 1, 'once', 1)
    assert.equal((again.body as { version: number }).version, 2)
    assert.equal(fleet.log.stream(CONFIGURATION_STREAM).nextOffset, 2)
  })

  it('reports that nothing was appended while the log refuses requests', async () => {
    fleet.log.faults.outage = true
    const response = await submitDefaultRank(fleet, 0, 'refused', 1)
    assert.equal(response.status, 503)
    fleet.log.faults.outage = false
    assert.equal((await submitDefaultRank(fleet, 0, 'refused', 1)).status, 200)
  })

  it('reports an unknown outcome while the log does not respond', async () => {
    fleet.log.faults.silent = true
    const response = await submitDefaultRank(fleet, 0, 'silent', 1)
    assert.equal(response.status, 504)
    assert.match(JSON.stringify(response.body), /patches\/silent/)
    fleet.log.faults.silent = false
    assert.equal((await submitDefaultRank(fleet, 0, 'silent', 1)).status, 200)
  })

  it('updates a new router from its peers while the log is down', async () => {
    await submitDefaultRank(fleet, 0, 'before', 1)
    fleet.log.faults.outage = true
    await fleet.addRouter()
    await eventually(hasVersion(fleet, 2, 2))
    fleet.log.faults.outage = false
    assert.equal((await submitDefaultRank(fleet, 2, 'after', 2)).status, 200)
  })

  it('keeps a version missing from a replaced log until an operator moves it', async () => {
    await eventually(hasVersion(fleet, 1, 1))
    fleet.log.replace()
    await eventually(async () => {
      const { problem } = await getStatus(fleet, 0)
      return problem?.kind === ConfigurationProblemKind.LogReplaced
    })
    const refused = await submitDefaultRank(fleet, 0, 'lost', 1)
    assert.equal(refused.status, 503)
    const moved = await callAdmin(fleet, 0, 'POST', '/config/move')
    assert.equal(moved.status, 200)
    assert.equal((await submitDefaultRank(fleet, 0, 'found', 1)).status, 200)
    await eventually(hasVersion(fleet, 1, 2))
  })

  it('restores all routers from a snapshot and the log after a full restart', async () => {
    const { log } = fleet
    await eventually(() => log.stream(SNAPSHOT_STREAM).nextOffset > 0)
    await submitDefaultRank(fleet, 0, 'last', 1)
    log.stream(CONFIGURATION_STREAM).trim(1)
    const before = await callAdmin(fleet, 0, 'GET', '/config')
    await Promise.all(fleet.routers.splice(0).map((router) => router.stop()))
    await fleet.addRouter()
    await fleet.addRouter()
    await eventually(hasVersion(fleet, 0, 2))
    await eventually(hasVersion(fleet, 1, 2))
    assert.deepEqual(await callAdmin(fleet, 1, 'GET', '/config'), before)
  })
})

describe('a router without access to the log', () => {
  it('receives new versions from its peers', async () => {
    const unreachableLog = { logService: { url: 'http://127.0.0.1:9' } }
    const fleet = await startFleet({
      routers: 2,
      engines: 1,
      settingsOf: (index) => (index === 1 ? unreachableLog : {}),
    })
    try {
      await submitDefaultRank(fleet, 0, 'next', 1)
      await eventually(hasVersion(fleet, 1, 2))
      const { routers } = await getStatus(fleet, 1)
      assert.deepEqual(
        routers.map(({ readsLog }) => readsLog),
        [false, true],
      )
      const response = await submitDefaultRank(fleet, 1, 'cut-off', 2)
      assert.equal(response.status, 504)
    } finally {
      await fleet.stop()
    }
  })
})
