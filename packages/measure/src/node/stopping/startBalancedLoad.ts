import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { callChat, ChatOutcome } from './callChat.js'
import type { RouterProcess } from './forkRouter.js'
import { isReady, type ProcessFleet } from './startProcessFleet.js'

/** Load from callers behind a load balancer that honours readiness. */
export interface BalancedLoad {
  /** Number of finished calls, by outcome. */
  readonly outcomes: Readonly<Record<ChatOutcome, number>>
  /** Returns the number of streams open through a router. */
  countOpenStreams(router: RouterProcess): number
  /** Stops sending and resolves when the last call has finished. */
  stop(): Promise<void>
}

/** Interval of the load balancer's readiness checks, in milliseconds. */
const READINESS_POLL_MS = 50
const NO_ROUTER_PAUSE_MS = 5

/** Starts callers that each stream one chat after another. */
export function startBalancedLoad(
  fleet: ProcessFleet,
  callers: number,
  words: number,
): BalancedLoad {
  const outcomes: Record<ChatOutcome, number> = {
    [ChatOutcome.Complete]: 0,
    [ChatOutcome.NotRun]: 0,
    [ChatOutcome.Failed]: 0,
    [ChatOutcome.Aborted]: 0,
    [ChatOutcome.Wrong]: 0,
  }
  const agent = new Agent({ keepAlive: true })
  const open = new Map<RouterProcess, number>()
  let ready: RouterProcess[] = [...fleet.routers]
  let stopped = false
  let sent = 0

  async function pollReadiness(): Promise<void> {
    while (!stopped) {
      const routers = [...fleet.routers]
      const states = await Promise.all(routers.map(isReady))
      ready = routers.filter((_, index) => states[index])
      await sleep(READINESS_POLL_MS)
    }
  }

  async function callOnce(router: RouterProcess): Promise<void> {
    const { callerKey } = fleet
    const prompt = `prompt-${sent}`
    open.set(router, (open.get(router) ?? 0) + 1)
    outcomes[await callChat({ router, callerKey, agent, prompt, words })] += 1
    open.set(router, (open.get(router) ?? 0) - 1)
  }

  async function runCaller(): Promise<void> {
    while (!stopped) {
      sent += 1
      const router = ready[sent % ready.length]
      if (router) await callOnce(router)
      else await sleep(NO_ROUTER_PAUSE_MS)
    }
  }

  const running = Promise.all([
    pollReadiness(),
    ...Array.from({ length: callers }, runCaller),
  ])
  return {
    outcomes,
    countOpenStreams: (router) => open.get(router) ?? 0,
    stop: async () => {
      stopped = true
      await running
      agent.destroy()
    },
  }
}
