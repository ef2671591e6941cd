import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readSettings, resolveSettings } from '../readSettings.js'

const VALID = {
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
  it('parses addresses and ignores unknown fields', () => {
    const settings = resolveSettings({ ...VALID, later: true })._unsafeUnwrap()
    assert.deepEqual(settings.listen.peers, { host: '10.0.0.1', port: 82 })
    assert.equal(settings.listen.metrics, undefined)
  })

  it('reports the field, the expected value and the remedy', () => {
    const listen = { ...VALID.listen, callers: 'nowhere' }
    const error = resolveSettings({ ...VALID, listen })._unsafeUnwrapErr()
    assert.match(
      error,
      /listen\.callers: expected HOST:PORT; correct the field/,
    )
    const bounds = { ...VALID.bounds, drainMs: 'soon' }
    const other = resolveSettings({ ...VALID, bounds })._unsafeUnwrapErr()
    assert.match(other, /bounds\.drainMs: .*number/)
  })

  it('reports a missing file in one line', () => {
    const error = readSettings('/does/not/exist.json')._unsafeUnwrapErr()
    assert.match(
      error,
      /^settings: \/does\/not\/exist\.json: .*write a JSON file/,
    )
    assert.ok(!error.includes('\n'))
  })
})
