import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { callChat, ChatEnd } from './chatCall.js'
import type { RouterProcess } from './forkRouter.js'
import { isReady, type ProcessFleet } from './processFleet.js'

/** Load from callers behind a balancer that honours readiness. */
export interface BalancedLoad {
  /** Calls that ended, by how they ended. */
  readonly ends: Readonly<Record<ChatEnd, number>>
  /** Streams that are open through a router. */
  openThrough(router: RouterProcess): number
  /** Resolves after the last call. */
  stop(): Promise<void>
}

/** Milliseconds between two readiness checks of the balancer. */
const READINESS_MS = 50
const IDLE_PAUSE_MS = 5

/** Starts `callers` callers that each stream one chat after another. */
export function startBalancedLoad(
  fleet: ProcessFleet,
  callers: number,
  words: number,
): BalancedLoad {
  const ends: Record<ChatEnd, number> = {
    [ChatEnd.Whole]: 0,
    [ChatEnd.NotRun]: 0,
    [ChatEnd.Failed]: 0,
    [ChatEnd.Broken]: 0,
    [ChatEnd.Wrong]: 0,
  }
  const agent = new Agent({ keepAlive: true })
  const open = new Map<RouterProcess, number>()
  let ready: RouterProcess[] = [...fleet.routers]
  let stopped = false
  let sent = 0

  async function watch(): Promise<void> {
    while (!stopped) {
      const routers = [...fleet.routers]
      const states = await Promise.all(routers.map(isReady))
      ready = routers.filter((_, index) => states[index])
      await sleep(READINESS_MS)
    }
  }

  async function callOnce(router: RouterProcess): Promise<void> {
    const { callerKey } = fleet
    const prompt = `prompt-${sent}`
    open.set(router, (open.get(router) ?? 0) + 1)
    ends[await callChat({ router, callerKey, agent, prompt, words })] += 1
    open.set(router, (open.get(router) ?? 0) - 1)
  }

  async function call(): Promise<void> {
    while (!stopped) {
      sent += 1
      const router = ready[sent % ready.length]
      if (router) await callOnce(router)
      else await sleep(IDLE_PAUSE_MS)
    }
  }

  const running = Promise.all([
    watch(),
    ...Array.from({ length: callers }, call),
  ])
  return {
    ends,
    openThrough: (router) => open.get(router) ?? 0,
    stop: async () => {
      stopped = true
      await running
      agent.destroy()
    },
  }
}
