import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { resolveSettings } from '../resolveSettings.js'

const directory = mkdtempSync(join(tmpdir(), 'auburnbay-settings-'))
const bin = fileURLToPath(new URL('../../bin.js', import.meta.url))

function write(name: string, text: string): string {
  const path = join(directory, name)
  writeFileSync(path, text)
  return path
}

const address = { host: '127.0.0.1', port: 0 }
const valid = {
  router: { id: 'router-1', dataCentre: 'dc-1' },
  listen: { callers: address, peers: address, admin: address },
  logService: { url: 'http://127.0.0.1:1' },
  vmList: { url: 'http://127.0.0.1:1' },
  secrets: {
    peer: { file: write('peer', 'a-peer-secret-of-enough-length\n') },
    hint: 'a-hint-secret-of-enough-length',
    admin: 'an-admin-secret-of-enough-length',
  },
}

function check(settings: unknown) {
  const path = write('settings.json', JSON.stringify(settings))
  const args = [bin, '--settings', path, '--check-settings']
  return spawnSync(process.execPath, args, { encoding: 'utf8' })
}

describe('auburnbayd --check-settings', () => {
  it('accepts valid settings', () => {
    const { status, stderr } = check(valid)
    assert.equal(status, 0, stderr)
  })

  it('reports each invalid field with its expected value and exits with 2', () => {
    const { status, stderr } = check({
      ...valid,
      router: { id: 'Router 1', dataCentre: '' },
      listen: { ...valid.listen, admin: { host: '127.0.0.1', port: 70_000 } },
      logService: { url: 'nowhere' },
      secrets: { ...valid.secrets, hint: 'short', admin: { file: '/nowhere' } },
      targets: { tls: { caFile: '/nowhere.pem' } },
      colour: 'blue',
    })
    assert.equal(status, 2)
    const expected = [
      /router\.id: .*must match pattern/,
      /router\.dataCentre: .*>=1 characters/,
      /listen\.admin\.port: .*<=65535/,
      /logService\.url: Invalid URL/,
      /secrets\.hint: expected at least 16 characters/,
      /secrets\.admin: ENOENT.*expected at least 16/,
      /targets\.tls: .*ENOENT.*expected PEM files/,
      /Unrecognized key: "colour"/,
    ]
    const lines = stderr.trim().split('\n')
    for (const pattern of expected) assert.match(stderr, pattern)
    assert.equal(lines.length, expected.length)
    for (const line of lines) assert.match(line, /; correct this field and/)
    assert.doesNotMatch(stderr, /"?short"?,/)
  })

  it('reports a settings file that cannot be read', () => {
    const args = [bin, '--settings', '/nowhere.json']
    const run = spawnSync(process.execPath, args, { encoding: 'utf8' })
    assert.equal(run.status, 2)
    assert.match(run.stderr, /name a readable JSON file with --settings/)
  })
})

describe('resolveSettings', () => {
  it('reads a secret from its file', () => {
    const { secrets } = resolveSettings(valid)._unsafeUnwrap()
    assert.equal(secrets.peer, 'a-peer-secret-of-enough-length')
  })
})
