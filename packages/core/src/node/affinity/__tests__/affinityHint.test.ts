import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { verifyHint, signHint } from '../affinityHint.js'

const ownerArbitrary = fc.record({
  customer: fc.string(),
  service: fc.string(),
  chat: fc.string(),
})
const targetArbitrary = fc.stringMatching(/^[a-z0-9][a-z0-9.-]{0,62}$/)

describe('affinity hint', () => {
  it('is valid for its owner and secret only', () => {
    const property = fc.property(
      ownerArbitrary,
      ownerArbitrary,
      targetArbitrary,
      (owner, other, target) => {
        const hint = signHint('secret-1', owner, target)
        assert.equal(verifyHint('secret-1', owner, hint), target)
        assert.equal(verifyHint('secret-2', owner, hint), undefined)
        fc.pre(JSON.stringify(owner) !== JSON.stringify(other))
        assert.equal(verifyHint('secret-1', other, hint), undefined)
      },
    )
    fc.assert(property, { seed: 11 })
  })

  it('is invalid after any change of its text', () => {
    const owner = { customer: 'c', service: 's', chat: 'x' }
    const hint = signHint('secret', owner, 'engine-1')
    const property = fc.property(fc.string(), (text) => {
      fc.pre(text !== hint)
      assert.equal(verifyHint('secret', owner, text), undefined)
    })
    fc.assert(property, { seed: 12 })
    const [, mac = ''] = hint.split('.')
    const moved = `${Buffer.from('engine-2').toString('base64url')}.${mac}`
    assert.equal(verifyHint('secret', owner, moved), undefined)
  })
})
