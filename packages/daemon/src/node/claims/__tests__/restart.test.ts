import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createLogService } from '@auburnbay/stand-ins'
import { createLogClient } from '../../logService/createLogClient.js'
import { createLogs } from '../../logging/createLogs.js'
import { LogFormat } from '../../settings/logFormat.js'
import { createClaims } from '../createClaims.js'
import { createKeyedRequest } from './createKeyedRequest.js'

const SETTINGS = {
  batchMs: 1,
  decideTimeoutMs: 5_000,
  maxClaims: 100,
  logRetentionMs: 0,
  acceptUndatedKeys: false,
}

describe('claims after every router was restarted', () => {
  it('are restored from the log', async () => {
    const log = await createLogService()
    const logs = createLogs({ format: LogFormat.Human, level: 0 })
    const start = () =>
      createClaims({
        settings: SETTINGS,
        log: createLogClient(log.url),
        logger: logs.forComponent('claims'),
        epochNow: Date.now,
      })
    const key = `${Date.now()}.sign-off`
    const request = createKeyedRequest()

    const before = [start(), start()]
    const won = await before[0]?.claim(request, key)
    won?._unsafeUnwrap().recordStatus(201)
    await Promise.all(before.map((claims) => claims.stop()))

    const after = start()
    const repeated = await after.claim(request, key)
    assert.match(repeated._unsafeUnwrapErr().message, /status 201/)
    const other = createKeyedRequest({ customer: 'another' })
    assert.ok((await after.claim(other, key)).isOk())
    await after.stop()
    await log.close()
  })

  it('are refused once the log has dropped them, while new keys are accepted', async () => {
    const log = await createLogService()
    const logs = createLogs({ format: LogFormat.Human, level: 0 })
    const start = (logRetentionMs: number) =>
      createClaims({
        settings: { ...SETTINGS, logRetentionMs },
        log: createLogClient(log.url),
        logger: logs.forComponent('claims'),
        epochNow: Date.now,
      })
    const oldKey = `${Date.now() - 7_200_000}.sign-off`
    const newKey = `${Date.now()}.sign-off`
    const stream = log.stream('claims')
    stream.append([{}])
    stream.trim(stream.nextOffset)

    const withoutRetention = start(0)
    await withoutRetention.claim(createKeyedRequest(), newKey)
    const refused = await withoutRetention.claim(createKeyedRequest(), oldKey)
    assert.equal(refused._unsafeUnwrapErr().code, 'key-too-old')
    stream.trim(stream.nextOffset)

    const withRetention = start(3_600_000)
    assert.ok((await withRetention.claim(createKeyedRequest(), newKey)).isOk())
    const other = await withRetention.claim(createKeyedRequest(), oldKey)
    assert.equal(other._unsafeUnwrapErr().code, 'key-too-old')
    await Promise.all([withoutRetention.stop(), withRetention.stop()])
    await log.close()
  })

  it('are refused once the log was replaced', async () => {
    const log = await createLogService()
    const logs = createLogs({ format: LogFormat.Human, level: 0 })
    const claims = createClaims({
      settings: SETTINGS,
      log: createLogClient(log.url),
      logger: logs.forComponent('claims'),
      epochNow: Date.now,
    })
    const key = `${Date.now()}.sign-off`
    assert.ok((await claims.claim(createKeyedRequest(), key)).isOk())
    log.replace()
    const repeated = await claims.claim(createKeyedRequest(), key)
    assert.ok(repeated.isErr())
    await claims.stop()
    await log.close()
  })
})
