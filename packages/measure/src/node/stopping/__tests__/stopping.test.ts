import assert from 'node:assert/strict'
import { Agent } from 'node:http'
import { describe, it } from 'node:test'
import { callChat, ChatOutcome } from '../callChat.js'
import { startProcessFleet } from '../startProcessFleet.js'
import { runRollingRestart } from '../runRollingRestart.js'

const EXIT_ABORTED = 3

describe('a router process that receives SIGTERM', () => {
  it('fails no request during a rolling restart', async () => {
    const { outcomes, exitCodes, openAtStop } = await runRollingRestart(2, 6)
    const { [ChatOutcome.Complete]: complete, ...others } = outcomes
    assert.ok(complete > 0)
    assert.ok(openAtStop > 0)
    assert.deepEqual(Object.values(others), [0, 0, 0, 0])
    assert.deepEqual(exitCodes, [0, 0])
  })

  it('aborts a stream visibly after the drain timeout and reports it in the exit code', async () => {
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
    const onFirstChunk = (): void => {
      router.child.kill('SIGTERM')
    }
    const prompt = 'long'
    const call = { router, callerKey, agent, prompt, words, onFirstChunk }
    assert.equal(await callChat(call), ChatOutcome.Aborted)
    assert.equal(await router.exited, EXIT_ABORTED)
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
