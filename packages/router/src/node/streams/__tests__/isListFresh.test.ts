import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { isListFresh } from '../isListFresh.js'

describe('isListFresh', () => {
  it('trusts an older list only beside live peers', () => {
    assert.ok(isListFresh(1_000, 0))
    assert.ok(!isListFresh(1_001, 0))
    assert.ok(isListFresh(5_000, 1))
  })

  it('trusts no list after a pause of the process until it is read again', () => {
    assert.ok(!isListFresh(Infinity, 1))
  })
})
