import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { requestFingerprint } from '../requestFingerprint.js'

function fingerprintOf(
  changes: Partial<Record<'attempt' | 'customer' | 'path' | 'body', string>>,
): string {
  const { attempt = 'a-1', customer = 'c', path = '/p?q', body = 'b' } = changes
  return requestFingerprint({
    request: { attemptId: attempt, host: 'a.example', promptParts: [] },
    customer: { name: customer, keys: [] },
    method: 'POST',
    path,
    body: Buffer.from(body),
  })
}

describe('requestFingerprint', () => {
  it('is the same for each attempt of a request', () => {
    assert.equal(fingerprintOf({ attempt: 'a-2' }), fingerprintOf({}))
  })

  it('differs for another customer, path or body', () => {
    const changed = [{ customer: 'd' }, { path: '/p?r' }, { body: 'bb' }]
    for (const change of changed)
      assert.notEqual(fingerprintOf(change), fingerprintOf({}))
  })
})
