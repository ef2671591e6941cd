import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readSettings, resolveSettings } from '../readSettings.js'

const GOOD = {
  router: { id: 'r1', dataCentre: 'dc' },
  listen: {
    callers: '10.0.0.1:80',
    readiness: '10.0.0.1:81',
    peers: '10.0.0.1:82',
  },
  logService: '10.0.0.9:83',
  bounds: {
    drainMs: 2_000,
    gracePeriodS: 8,
    configurationMs: 2_000,
    retryRatio: 0.2,
    retryAllowance: 54,
    retryWindowS: 10,
  },
}

describe('resolveSettings', () => {
  it('reads addresses and ignores fields that it does not know', () => {
    const settings = resolveSettings({ ...GOOD, later: true })._unsafeUnwrap()
    assert.deepEqual(settings.listen.peers, { host: '10.0.0.1', port: 82 })
    assert.equal(settings.listen.metrics, undefined)
  })

  it('names the field, what was expected and what to do', () => {
    const listen = { ...GOOD.listen, callers: 'nowhere' }
    const error = resolveSettings({ ...GOOD, listen })._unsafeUnwrapErr()
    assert.match(
      error,
      /listen\.callers: expected HOST:PORT; correct the field/,
    )
    const bounds = { ...GOOD.bounds, drainMs: 'soon' }
    const other = resolveSettings({ ...GOOD, bounds })._unsafeUnwrapErr()
    assert.match(other, /bounds\.drainMs: .*number/)
  })

  it('says in one line that a file is missing', () => {
    const error = readSettings('/does/not/exist.json')._unsafeUnwrapErr()
    assert.match(
      error,
      /^settings: \/does\/not\/exist\.json: .*write a JSON file/,
    )
    assert.ok(!error.includes('\n'))
  })
})
