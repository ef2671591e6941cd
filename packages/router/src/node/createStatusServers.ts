import type { ConnectionLimitsOptions } from './connections/limitConnections.js'
import type { Explainer } from './explain/createExplainer.js'
import { createMetricsServer } from './metrics/createMetricsServer.js'
import type { RouterMetrics } from './metrics/routerMetrics.js'
import type { RouterSettings } from './settings/settingsSchema.js'
import { createReadinessServer } from './stopping/createReadinessServer.js'

/** Servers that tell the load balancer and operators about a router. */
export interface StatusServers {
  close(): Promise<void>
}

/** Starts the readiness server, and the metrics server if it has an address; rejects if an address is in use. */
export async function createStatusServers(
  listen: RouterSettings['listen'],
  metrics: RouterMetrics,
  isReady: () => boolean,
  limits: ConnectionLimitsOptions,
  explain: Explainer,
): Promise<StatusServers> {
  const readiness = await createReadinessServer(
    listen.readiness,
    isReady,
    limits,
  )
  const metricsServer =
    listen.metrics &&
    (await createMetricsServer(listen.metrics, metrics, limits, explain))
  return {
    async close() {
      metricsServer?.close()
      await readiness.close()
    },
  }
}
