import { createServer } from 'node:http'
import { listen, type ListenAddress } from '@auburnbay/http-utils/listen'
import {
  type ConnectionLimitsOptions,
  limitConnections,
} from '../connections/limitConnections.js'
import type { Explainer } from '../explain/createExplainer.js'
import { EXPLAIN_PATH, handleExplain } from '../explain/handleExplain.js'
import type { RouterMetrics } from './routerMetrics.js'

/** Serves metrics in the Prometheus text format on every path but that of explanations. */
export interface MetricsServer {
  close(): void
}

/** Starts listening; rejects when the address is in use. */
export async function createMetricsServer(
  address: ListenAddress,
  metrics: RouterMetrics,
  limitsOptions: ConnectionLimitsOptions,
  explain: Explainer,
): Promise<MetricsServer> {
  const server = createServer((req, res) => {
    limits.submit(res, () => {
      if (req.url === EXPLAIN_PATH) {
        void handleExplain(req, res, explain)
        return
      }
      void metrics.render().then((text) => {
        res.writeHead(200, { 'Content-Type': 'text/plain; version=0.0.4' })
        res.end(text)
      })
    })
  })
  const limits = limitConnections(server, limitsOptions)
  await listen(server, address)
  return {
    close() {
      limits.stop()
      server.close()
      server.closeAllConnections()
    },
  }
}
