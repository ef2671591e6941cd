import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  testConfiguration,
  testRoute,
} from '../../configuration/__tests__/testConfiguration.js'
import { createConfigurationStore } from '../../configuration/createConfigurationStore.js'
import { RequestKind } from '../../configuration/requestKind.js'
import { createStreamLifetime } from '../createStreamLifetime.js'

const resumable = (timeoutMs: number) =>
  testRoute({ kind: RequestKind.Stream, resumable: true, timeoutMs })

describe('createStreamLifetime', () => {
  it('covers streams that began under longer timeouts of an earlier configuration', () => {
    const store = createConfigurationStore()
    const lifetimeMs = createStreamLifetime(() => store.current)
    const routes = [resumable(2_000), testRoute({ timeoutMs: 90_000 })]
    store.applyIfNewer(testConfiguration(1, { routes }))
    assert.equal(lifetimeMs(), 4_000)
    store.applyIfNewer(testConfiguration(2, { routes: [resumable(1_000)] }))
    assert.equal(lifetimeMs(), 4_000)
    store.applyIfNewer(testConfiguration(3, { routes: [resumable(3_000)] }))
    assert.equal(lifetimeMs(), 6_000)
  })
})
