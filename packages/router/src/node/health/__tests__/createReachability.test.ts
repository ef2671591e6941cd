import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { Target } from '../../targets/target.js'
import { createReachability, type Reachability } from '../createReachability.js'

const TARGETS: readonly Target[] = Array.from({ length: 8 }, (_, i) => ({
  id: `i-${i}`,
  service: 's',
  host: '10.0.0.1',
  port: i,
  slots: 4,
  softwareVersion: '',
  draining: false,
}))

describe('reachability', () => {
  let nowMs = 0
  let silentMs = 0
  let checks = 0
  let reachable: ReadonlySet<string> = new Set()
  let reachability: Reachability

  beforeEach(() => {
    silentMs = 0
    checks = 0
    reachable = new Set(TARGETS.map(({ id }) => id))
    reachability = createReachability({
      targets: () => TARGETS,
      connects: ({ id }) => {
        checks += 1
        return Promise.resolve(reachable.has(id))
      },
      silentMs: () => silentMs,
      onChange: () => undefined,
      random: () => 0,
      now: () => nowMs,
    })
  })

  async function poll(): Promise<void> {
    nowMs += 1_000
    await reachability.poll()
  }

  it('opens no connections without a suspicion', async () => {
    await poll()
    assert.equal(checks, 0)
  })

  it('is lost when no target accepts a connection, until one does', async () => {
    reachable = new Set()
    silentMs = 600
    await poll()
    assert.equal(reachability.isCutOff, true)
    silentMs = 0
    await poll()
    assert.equal(reachability.isCutOff, true)
    reachable = new Set(['i-0'])
    await poll()
    assert.equal(reachability.isCutOff, false)
  })

  it('is kept when unreachable targets are dead and others accept connections', async () => {
    reachable = new Set(['i-3'])
    for (const { id } of TARGETS.slice(0, 3)) reachability.recordUnreachable(id)
    await reachability.poll()
    assert.ok(checks > 0)
    assert.equal(reachability.isCutOff, false)
  })
})
