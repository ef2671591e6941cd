import { StatsD } from 'hot-shots'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { FLUSH_INTERVAL_MS, MAX_DATAGRAM_BYTES } from './constants.js'
import type { Metrics } from './metrics.js'

/**
 * Creates metrics that are sent to StatsD, or dropped when no address is set.
 */
export function createMetrics(settings: ResolvedSettings): Metrics {
  const client = new StatsD({
    host: settings.metrics?.host,
    port: settings.metrics?.port,
    mock: settings.metrics === undefined,
    prefix: 'auburnbay.',
    // Lines are batched, as a datagram for each line costs a system call.
    maxBufferSize: MAX_DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    globalTags: {
      router: settings.router.id,
      data_centre: settings.router.dataCentre,
    },
    // A send error must not stop the router.
    errorHandler: () => undefined,
  })
  return {
    count: (name, value = 1, tags = {}) => {
      client.increment(name, value, tags)
    },
    gauge: (name, value, tags = {}) => {
      client.gauge(name, value, tags)
    },
    timing: (name, ms, tags = {}) => {
      client.timing(name, ms, tags)
    },
    close: () =>
      new Promise((resolve) => {
        client.close(() => {
          resolve()
        })
      }),
  }
}
