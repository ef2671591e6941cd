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

function versionIs(fleet: Fleet, router: number, version: number) {
  return async () => (await getStatus(fleet, router)).version === version
}

describe('configuration while the log fails', () => {
  let fleet: Fleet

  beforeEach(async () => {
    fleet = await startFleet({ routers: 2, engines: 1 })
  })

  afterEach(() => fleet.stop())

  it('gives racing patches one verdict on every router', async () => {
    const answers = await Promise.all([
      submitDefaultRank(fleet, 0, 'left', 1),
      submitDefaultRank(fleet, 1, 'right', 1),
    ])
    assert.deepEqual(answers.map(({ status }) => status).sort(), [200, 409])
    for (const patchId of ['left', 'right']) {
      const path = `/config/patches/${patchId}`
      const first = await callAdmin(fleet, 0, 'GET', path)
      const second = await callAdmin(fleet, 1, 'GET', path)
      assert.deepEqual(first, second)
    }
  })

  it('finds out what became of an append whose reply was lost', async () => {
    fleet.log.faults.loseReplies = 1
    const answer = await submitDefaultRank(fleet, 0, 'once', 1)
    assert.equal(answer.status, 200)
    const again = await submitDefaultRank(fleet, 1, 'once', 1)
    assert.equal((again.body as { version: number }).version, 2)
    assert.equal(fleet.log.stream(CONFIGURATION_STREAM).nextOffset, 2)
  })

  it('says that nothing was appended while the log refuses', async () => {
    fleet.log.faults.outage = true
    const answer = await submitDefaultRank(fleet, 0, 'refused', 1)
    assert.equal(answer.status, 503)
    fleet.log.faults.outage = false
    assert.equal((await submitDefaultRank(fleet, 0, 'refused', 1)).status, 200)
  })

  it('says "unknown" while the log is silent', async () => {
    fleet.log.faults.silent = true
    const answer = await submitDefaultRank(fleet, 0, 'silent', 1)
    assert.equal(answer.status, 504)
    assert.match(JSON.stringify(answer.body), /patches\/silent/)
    fleet.log.faults.silent = false
    assert.equal((await submitDefaultRank(fleet, 0, 'silent', 1)).status, 200)
  })

  it('brings a late joiner up to date from peers while the log is down', async () => {
    await submitDefaultRank(fleet, 0, 'before', 1)
    fleet.log.faults.outage = true
    await fleet.addRouter()
    await eventually(versionIs(fleet, 2, 2))
    fleet.log.faults.outage = false
    assert.equal((await submitDefaultRank(fleet, 2, 'after', 2)).status, 200)
  })

  it('keeps a version that the log lost, until an operator moves it', async () => {
    await eventually(versionIs(fleet, 1, 1))
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
    await eventually(versionIs(fleet, 1, 2))
  })

  it('restarts every router at once from a snapshot and the log', async () => {
    const { log } = fleet
    await eventually(() => log.stream(SNAPSHOT_STREAM).nextOffset > 0)
    await submitDefaultRank(fleet, 0, 'last', 1)
    log.stream(CONFIGURATION_STREAM).trim(1)
    const before = await callAdmin(fleet, 0, 'GET', '/config')
    await Promise.all(fleet.routers.splice(0).map((router) => router.stop()))
    await fleet.addRouter()
    await fleet.addRouter()
    await eventually(versionIs(fleet, 0, 2))
    await eventually(versionIs(fleet, 1, 2))
    assert.deepEqual(await callAdmin(fleet, 1, 'GET', '/config'), before)
  })
})

describe('a router that is parted from the log', () => {
  it('follows its peers', async () => {
    const parted = { logService: { url: 'http://127.0.0.1:9' } }
    const fleet = await startFleet({
      routers: 2,
      engines: 1,
      settingsOf: (index) => (index === 1 ? parted : {}),
    })
    try {
      await submitDefaultRank(fleet, 0, 'next', 1)
      await eventually(versionIs(fleet, 1, 2))
      const { routers } = await getStatus(fleet, 1)
      assert.deepEqual(
        routers.map(({ readsLog }) => readsLog),
        [false, true],
      )
      const answer = await submitDefaultRank(fleet, 1, 'cut-off', 2)
      assert.equal(answer.status, 504)
    } finally {
      await fleet.stop()
    }
  })
})
