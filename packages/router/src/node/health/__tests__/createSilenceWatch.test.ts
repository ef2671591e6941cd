import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createSilenceWatch } from '../createSilenceWatch.js'

describe('createSilenceWatch', () => {
  it('takes a target that owes answers and sends nothing for silent', () => {
    const watch = createSilenceWatch(1_000)
    watch.sent('t', 0)
    watch.sent('t', 900)
    assert.equal(watch.isSilent('t', 1_000), false)
    assert.equal(watch.isSilent('t', 1_001), true)
  })

  it('takes a target that sends other answers for alive', () => {
    const watch = createSilenceWatch(1_000)
    watch.sent('t', 0)
    watch.heard('t', 900)
    assert.equal(watch.isSilent('t', 1_500), false)
  })

  it('takes a target that owes nothing for alive', () => {
    const watch = createSilenceWatch(1_000)
    watch.sent('t', 0)
    watch.ended('t')
    assert.equal(watch.isSilent('t', 5_000), false)
    watch.sent('t', 5_000)
    assert.equal(watch.isSilent('t', 5_900), false)
  })
})
