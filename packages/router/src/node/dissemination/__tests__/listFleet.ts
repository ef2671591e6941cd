import { setImmediate as turn } from 'node:timers/promises'
import { err, type Result } from 'neverthrow'
import {
  DIGEST_INTERVAL_MS,
  POLLS_PER_DRAIN,
  READER_AGE_DIVISOR,
} from '../../constants.js'
import type { Peer } from '../../peers/createPeerTable.js'
import { createPeerStateFetcher } from '../../peers/createPeerStateFetcher.js'
import { createPeerStateSource } from '../../peers/createPeerStateSource.js'
import { createReaderWatch } from '../../peers/createReaderWatch.js'
import { finiteOrNull } from '../../peers/finiteOrNull.js'
import { createRouterState } from '../../peers/createRouterState.js'
import type { PeerState, PeerStateQuery } from '../../peers/peerState.js'
import { STATE_TIMEOUT_MS } from '../../peers/requestPeerState.js'
import type { KeyedSource } from '../../sources/keyedSource.js'
import { createLogRestores } from '../../sources/createLogRestores.js'
import { SourceFault } from '../../sources/sourceFault.js'
import { createTargetList } from '../../targets/createTargetList.js'
import { followTargets } from '../../targets/followTargets.js'
import type { Target } from '../../targets/target.js'
import { createConfigurationStore } from '../../configuration/createConfigurationStore.js'
import { PolledSource } from '../createPollers.js'
import { Direction } from '../createUpdateQueue.js'
import { createTestFleet } from './testFleet.js'
import type { ListRouter, TestRouter } from './testRouter.js'
import { maxListAgeMs } from '../../targets/maxListAgeMs.js'
import {
  createTestTargetLog,
  type TestTargetLogOptions,
} from './testTargetLog.js'

const CALL_MS = 10
const LOG_TIMEOUT_MS = 800

/** Options for {@link createListFleet}. */
export interface ListFleetOptions extends TestTargetLogOptions {
  readonly routers: number
  /** Milliseconds within which a change must be in all lists. */
  readonly drainMs: number
  readonly targets?: number
  readonly lossRate?: number
}

/** Simulates the target lists of a fleet on a fake clock: their log, digests and transfers between routers. */
export function createListFleet(options: ListFleetOptions) {
  const { drainMs } = options
  const log = createTestTargetLog(options)
  const routers = new Map<string, ListRouter>()
  const due: { atMs: number; run: () => void }[] = []
  let now = (): number => 0
  const targetIds = Array.from(
    { length: options.targets ?? 20 },
    (_, i) => `i-${i}`,
  )
  for (const id of targetIds) log.write(id, 'ready')

  function after(ms: number): Promise<void> {
    return new Promise((resolve) =>
      due.push({ atMs: now() + ms, run: resolve }),
    )
  }

  /** Resolves when the process runs again, if it is frozen. */
  async function whileFrozen(router: TestRouter): Promise<void> {
    while (router.isFrozen) await after(DIGEST_INTERVAL_MS)
  }

  async function sleepAs(router: TestRouter, ms: number): Promise<void> {
    await after(ms)
    await whileFrozen(router)
    if (!router.isRunning) await new Promise(() => undefined)
  }

  function sourceOf(own: ListRouter): KeyedSource<Target> {
    async function call<T>(
      answer: () => Result<T, SourceFault>,
    ): Promise<Result<T, SourceFault>> {
      const isCut = own.isCutFromLog
      await after(isCut ? LOG_TIMEOUT_MS : CALL_MS)
      const result = isCut ? err(SourceFault.Unavailable) : answer()
      await whileFrozen(own.router)
      return result
    }
    return {
      list: () => call(() => log.list()),
      read: (from) => call(() => log.read(from)),
    }
  }

  async function requestState(
    from: ListRouter,
    id: string,
    query: PeerStateQuery,
  ): Promise<PeerState | undefined> {
    const peer = routers.get(id)
    const isSilent = peer === undefined || peer.isStuck || from.isStuck
    if (isSilent || !peer.router.isRunning || peer.router.isFrozen) {
      await after(STATE_TIMEOUT_MS)
      return undefined
    }
    await after(CALL_MS + peer.router.lagMs)
    const state = stateSources.get(id)?.(query)
    await after(from.router.lagMs)
    return state
  }

  const stateSources = new Map<string, (query: PeerStateQuery) => PeerState>()

  function keepList(router: TestRouter, clock: () => number) {
    now = clock
    const targetList = createTargetList(2_200, () => drainMs)
    const maxPollAgeMs = (): number => drainMs / READER_AGE_DIVISOR
    const watch = createReaderWatch({
      router: router.id,
      table: router.exchange.view.table,
      pollers: router.pollers,
      maxPollAgeMs,
      now,
    })
    const own = {
      router,
      isCutFromLog: false,
      isStuck: false,
      readyIds: () => new Set(targetList.ready('s', now()).map(({ id }) => id)),
    }
    const follower = followTargets({
      source: sourceOf(own as unknown as ListRouter),
      logRestores: createLogRestores(),
      targetList,
      coldTargets: { recordListed: () => undefined },
      pollIntervalMs: drainMs / POLLS_PER_DRAIN,
      maxAgeMs: () => maxListAgeMs(router.id, drainMs),
      hasFreshReader: () => watch.hasReader(PolledSource.Targets),
      outageRetryMs: () => 250,
      onChange: () => {
        if (router.isRunning)
          fleet.sendNow(router, [Direction.Up, Direction.Down])
      },
      log: { write: () => undefined },
      now,
      sleep: (ms) => sleepAs(router, ms),
      hasPausedSince: () => false,
    })
    const listRouter: ListRouter = Object.assign(own, { follower })
    routers.set(router.id, listRouter)
    const state = createRouterState({
      configurationStore: createConfigurationStore(),
      targetList,
      targets: follower,
      configurationPollAgeMs: () => 0,
      applyConfiguration: () => undefined,
    })
    const streams = {
      state: () => ({ streams: [], history: { coveredMs: 0, versions: [] } }),
      applyState: () => undefined,
    } as never
    const { cacheLocations, records } = router
    stateSources.set(
      router.id,
      createPeerStateSource({ state, cacheLocations, streams, records, now }),
    )
    const fetcher = createPeerStateFetcher({
      routerState: state,
      cacheLocations,
      streams,
      records,
      requestState: ({ host }, query) => requestState(listRouter, host, query),
      log: { write: () => undefined },
      now,
    })
    return {
      status: () => ({
        targetsFingerprint: state.targetsFingerprint(),
        targetsReadMs: finiteOrNull(state.targetsPollAgeMs()),
        targetsAgeMs: finiteOrNull(state.targetsAgeMs()),
      }),
      onDigest: (peer: Peer) => {
        fetcher.onDigest(peer)
      },
    }
  }

  const fleet = createTestFleet({
    routers: options.routers,
    ...(options.lossRate !== undefined && { lossRate: options.lossRate }),
    keepList,
  })

  /** Advances the clock; `onStep` is called after each step. */
  async function play(ms: number, onStep?: () => void): Promise<void> {
    for (const endMs = fleet.nowMs + ms; fleet.nowMs < endMs;) {
      fleet.step()
      const ripe = due.filter(({ atMs }) => atMs <= fleet.nowMs)
      if (ripe.length > 0) {
        const later = due.filter(({ atMs }) => atMs > fleet.nowMs)
        due.splice(0, due.length, ...later)
        for (const { run } of ripe) run()
        await turn()
      }
      onStep?.()
    }
  }

  return {
    log,
    fleet,
    routers,
    targetIds,
    play,
    /** Returns the running router that polls the log for the others. */
    reader(): ListRouter {
      const [first] = [...routers.values()]
        .filter(({ router }) => router.isRunning)
        .sort((a, b) => (a.router.id < b.router.id ? -1 : 1))
      if (!first) throw new Error('no router runs')
      return first
    },
    /**
     * Lets one target drain and removes another one; returns the milliseconds for which
     * some router that is not excused offers either of them in the next two drain times.
     */
    async timeToLeave(
      isExcused: (router: ListRouter) => boolean,
    ): Promise<number> {
      const [draining = '', removed = ''] = targetIds
      log.write(draining, 'draining')
      log.write(removed, 'gone')
      const startMs = now()
      let lastOfferedMs = startMs
      await play(2 * drainMs, () => {
        for (const own of routers.values()) {
          if (!own.router.isRunning || isExcused(own)) continue
          const ids = own.readyIds()
          if (ids.has(draining) || ids.has(removed)) lastOfferedMs = now()
        }
      })
      return lastOfferedMs - startMs
    },
  }
}
