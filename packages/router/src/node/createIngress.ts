import {
  type CallerServer,
  createCallerServer,
} from './callers/createCallerServer.js'
import {
  createRequestHandler,
  type RequestHandler,
  type RequestHandlerOptions,
} from './callers/createRequestHandler.js'
import { ServerKind } from './connections/connectionBoundsOf.js'
import { createServerLimits } from './connections/createServerLimits.js'
import {
  createStatusServers,
  type StatusServers,
} from './createStatusServers.js'
import type { Explainer } from './explain/createExplainer.js'
import type { RoutingState } from './routing/createRoutingState.js'
import type { RouterSettings } from './settings/settingsSchema.js'

/** Options for {@link createIngress}. */
export interface IngressOptions extends RequestHandlerOptions {
  readonly settings: RouterSettings
  readonly routingState: Pick<RoutingState, 'coldTargets' | 'evacuations'>
  readonly isReady: () => boolean
  readonly explain: Explainer
  /** Called with the handler before callers can connect. */
  readonly onHandler: (handler: RequestHandler) => void
}

/** Where a router is called: by its callers, the load balancer and operators. */
export interface Ingress {
  readonly handler: RequestHandler
  readonly callers: CallerServer
  readonly statusServers: StatusServers
}

/** Starts to listen; rejects if an address is in use. */
export async function createIngress(options: IngressOptions): Promise<Ingress> {
  const { settings, configurationStore, metrics, isReady } = options
  const { listen } = settings
  const handler = createRequestHandler(options)
  options.onHandler(handler)
  const limitsOf = createServerLimits(options)
  const callers = await createCallerServer({
    address: listen.callers,
    configurationStore,
    handler,
    limits: limitsOf(ServerKind.Callers, settings.callers),
  })
  metrics.watchCallers(() => {
    const { connections, requests, bytes } = callers.limits.use
    return {
      callerConnections: connections,
      openRequests: requests,
      requestBytes: bytes,
    }
  })
  const { coldTargets, evacuations } = options.routingState
  metrics.watchTargets(() => ({
    evacuatedDataCentres: evacuations.all().length,
    coldTargets: coldTargets.count(),
  }))
  const statusServers = await createStatusServers(
    listen,
    metrics,
    isReady,
    limitsOf(ServerKind.Status),
    options.explain,
  )
  return { handler, callers, statusServers }
}
