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

/** A target as the routers of a trial choose it. */
export interface TrialTarget {
  readonly id: string
  readonly address: string
}

/** A router of the real parts, without membership and load bound. */
export interface TrialRouter {
  readonly url: string
  /** Milliseconds that it halts between claiming and sending. */
  pauseMs: number
  /** Whether the first target tried refuses connections. */
  refusedFirst: boolean
  /** Stops as on SIGTERM, with no time for requests in flight. */
  stop(): Promise<void>
}

/** What a trial's router works with. */
export interface TrialRouterOptions {
  readonly id: string
  readonly logUrl: string
  readonly configuration: Configuration
  readonly targets: Readonly<Record<string, readonly TrialTarget[]>>
}

/** Nobody listens on this port. */
const REFUSING: TrialTarget = { id: 'refusing', address: '127.0.0.1:1' }

/** Resolves settings with every default, but for what `extra` says. */
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

/** Short limits, so that each failure shows soon. */
const SHORT_LIMITS: Partial<Settings> = {
  targets: {
    connectTimeoutMs: 200,
    firstByteTimeoutMs: 40,
    idleTimeoutMs: 30,
  },
  retries: { ratio: 1, reserve: 1_000_000 },
  claims: { batchMs: 1, decideTimeoutMs: 100 },
}

/** Starts a router of a trial. */
export async function createRouter(
  options: TrialRouterOptions,
): Promise<TrialRouter> {
  const { id, logUrl } = options
  const settings = resolveTrialSettings(id, logUrl, SHORT_LIMITS)
  const logs = createLogs(settings.logs)
  const metrics = createMetrics(settings)
  const tracing = createTracing(settings)
  const targets = createTargetClient(settings.targets)
  let placed = 0
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
      const known = options.targets[request.service] ?? []
      placed += 1
      const first = known[placed % known.length]
      const order = [
        ...(trial.refusedFirst ? [REFUSING] : []),
        ...(first ? [first] : []),
        ...known,
      ]
      const target = order.find(({ id }) => !exclude.has(id))
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
    refusedFirst: false,
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

/** Kinds of the services of a trial. */
export const trialServices = {
  briefing: { kind: ServiceKind.Model, maxLoadFactor: 1.25 },
  charts: { kind: ServiceKind.Plain, maxLoadFactor: 1.25 },
}
