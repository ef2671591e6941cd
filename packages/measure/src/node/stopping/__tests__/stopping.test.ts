import assert from 'node:assert/strict'
import { Agent } from 'node:http'
import { describe, it } from 'node:test'
import { callChat, ChatEnd } from '../chatCall.js'
import { startProcessFleet } from '../processFleet.js'
import { rollFleet } from '../rollFleet.js'

const EXIT_CUT_OFF = 3

describe('a router process that gets SIGTERM', () => {
  it('lets no request fail while each router is replaced', async () => {
    const { ends, exitCodes, openAtStop } = await rollFleet(2, 6)
    const { whole, ...others } = ends
    assert.ok(whole > 0)
    assert.ok(openAtStop > 0)
    assert.deepEqual(Object.values(others), [0, 0, 0, 0])
    assert.deepEqual(exitCodes, [0, 0])
  })

  it('breaks a stream off visibly beyond the limit and says so on exit', async () => {
    const words = 2_000
    const fleet = await startProcessFleet({
      routers: 1,
      engine: { words, wordDelayMs: 20 },
      stopping: { balancerDelayMs: 0, drainTimeoutMs: 100 },
    })
    const [router] = fleet.routers
    assert.ok(router)
    const agent = new Agent({ keepAlive: true })
    const { callerKey } = fleet
    const onStarted = (): void => {
      router.child.kill('SIGTERM')
    }
    const prompt = 'long'
    const call = { router, callerKey, agent, prompt, words, onStarted }
    assert.equal(await callChat(call), ChatEnd.Broken)
    assert.equal(await router.exited, EXIT_CUT_OFF)
    fleet.remove(router)
    const runs = fleet.engines.flatMap((engine) => engine.runs)
    assert.deepEqual(
      runs.map((run) => run.cancelled),
      [true],
    )
    agent.destroy()
    await fleet.stop()
  })
})
