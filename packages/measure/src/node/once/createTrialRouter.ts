import { setTimeout as sleep } from 'node:timers/promises'
import {
  type Configuration,
  FailureCode,
  ServiceKind,
  Verdict,
} from '@auburnbay/core'
import {
  createCallerServer,
  createClaims,
  createDispatcher,
  createLogClient,
  createLogs,
  createMetrics,
  createRetries,
  createTargetClient,
  createTracing,
  type ResolvedSettings,
  resolveSettings,
  type Settings,
} from '@auburnbay/daemon'
import { formatAddress } from '@auburnbay/http-utils'
import { err, ok } from 'neverthrow'

/** A target that a trial's routers can select. */
export interface TrialTarget {
  readonly id: string
  readonly address: string
}

/** Router built from the daemon's components, without membership and load bounds. */
export interface TrialRouter {
  readonly url: string
  /** Pause between claiming and sending a request, in milliseconds. */
  pauseMs: number
  /** Whether the first target of each request refuses connections. */
  firstTargetRefuses: boolean
  /** Stops as on SIGTERM, without waiting for requests in flight. */
  stop(): Promise<void>
}

/** Options for {@link createTrialRouter}. */
export interface TrialRouterOptions {
  readonly id: string
  readonly logUrl: string
  readonly configuration: Configuration
  readonly targets: Readonly<Record<string, readonly TrialTarget[]>>
}

/** No process listens on this port. */
const REFUSING_TARGET: TrialTarget = { id: 'refusing', address: '127.0.0.1:1' }

/** Resolves default settings with the overrides in `extra`. */
export function resolveTrialSettings(
  id: string,
  logUrl = 'http://127.0.0.1:1',
  extra: Partial<Settings> = {},
): ResolvedSettings {
  const anyPort = { host: '127.0.0.1', port: 0 }
  const secret = 'trial-secret-0123456789'
  const resolved = resolveSettings({
    router: { id, dataCentre: 'dc-1' },
    listen: { callers: anyPort, peers: anyPort, admin: anyPort },
    logService: { url: logUrl },
    vmList: { url: logUrl },
    secrets: { peer: secret, hint: secret, admin: secret },
    logs: { level: 0 },
    ...extra,
  })
  return resolved._unsafeUnwrap()
}

/** Short timeouts that make every failure show up quickly. */
const SHORT_TIMEOUTS: Partial<Settings> = {
  targets: {
    connectTimeoutMs: 200,
    firstByteTimeoutMs: 40,
    idleTimeoutMs: 30,
  },
  retries: { ratio: 1, reserve: 1_000_000 },
  claims: { batchMs: 1, decideTimeoutMs: 100 },
}

/** Starts a router for a trial. */
export async function createTrialRouter(
  options: TrialRouterOptions,
): Promise<TrialRouter> {
  const { id, logUrl } = options
  const settings = resolveTrialSettings(id, logUrl, SHORT_TIMEOUTS)
  const logs = createLogs(settings.logs)
  const metrics = createMetrics(settings)
  const tracing = createTracing(settings)
  const targets = createTargetClient(settings.targets)
  let selections = 0
  const claims = createClaims({
    settings: settings.claims,
    log: createLogClient(settings.logService.url),
    logger: logs.forComponent('claims'),
    epochNow: Date.now,
  })

  const routing = {
    selectTarget: async (
      request: { readonly service: string },
      exclude: ReadonlySet<string>,
    ) => {
      if (trial.pauseMs > 0) await sleep(trial.pauseMs)
      const available = options.targets[request.service] ?? []
      selections += 1
      const first = available[selections % available.length]
      const candidates = [
        ...(trial.firstTargetRefuses ? [REFUSING_TARGET] : []),
        ...(first ? [first] : []),
        ...available,
      ]
      const target = candidates.find(({ id }) => !exclude.has(id))
      if (target) return ok({ target, release: () => undefined })
      return err({
        code: FailureCode.NoTarget,
        status: 503,
        verdict: Verdict.NotRun,
        message: 'every target has failed',
      })
    },
  }

  const callers = await createCallerServer({
    settings,
    configuration: () => options.configuration,
    isReady: () => true,
    dispatcher: createDispatcher({
      admission: {
        admit: () => Promise.resolve(ok({ release: () => undefined })),
      },
      claims,
      routing,
      targets,
      tracing,
      metrics,
      retries: createRetries(settings.retries, metrics, Date.now),
    }),
    tracing,
    metrics,
    logger: logs.forComponent('callers'),
  })
  const trial: TrialRouter = {
    url: `http://${formatAddress(callers.address)}`,
    pauseMs: 0,
    firstTargetRefuses: false,
    stop: async () => {
      callers.disableKeepAlive()
      callers.rejectNewRequests()
      callers.abortAll()
      await callers.drained()
      await Promise.all([callers.close(), claims.stop()])
      targets.close()
      await tracing.close()
    },
  }
  return trial
}

/** Services that a trial's routers serve. */
export const trialServices = {
  briefing: { kind: ServiceKind.Model, maxLoadFactor: 1.25 },
  charts: { kind: ServiceKind.Plain, maxLoadFactor: 1.25 },
}
