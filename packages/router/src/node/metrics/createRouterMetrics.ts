import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type {
  CallerStatus,
  FleetStatus,
  RouterMetrics,
  TargetStatus,
} from './routerMetrics.js'

/** Upper bounds of the latency buckets, in seconds. */
const LATENCY_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 30]

/** Upper bounds of the buckets for the age of the target list, in seconds; the bound on drains is 2 to 4. */
const LIST_AGE_BUCKETS_S = [0.25, 0.5, 0.75, 1, 1.5, 2, 2.5, 3, 4, 6]
/** Age that stands for an unknown one, in seconds. */
const UNKNOWN_AGE_S = 60

/** Name and help of the gauge of each field. */
const FLEET_GAUGES: Record<keyof FleetStatus, readonly [string, string]> = {
  livePeers: [
    'auburnbay_live_peers',
    'Peers that are neither lost nor stopping.',
  ],
  lostPeers: ['auburnbay_lost_peers', 'Known peers that are lost.'],
  aggregators: [
    'auburnbay_aggregators',
    "Aggregators in this router's view; 0 in a small fleet.",
  ],
  members: [
    'auburnbay_members',
    'Routers that send their digests to this one as their aggregator.',
  ],
  loadAgeS: [
    'auburnbay_load_age_seconds',
    'Age of the oldest report of load that counts.',
  ],
}

/** Name and help of the gauge of each field. */
const TARGET_GAUGES: Record<keyof TargetStatus, readonly [string, string]> = {
  evacuatedDataCentres: [
    'auburnbay_evacuated_data_centres',
    'Data centres whose targets get no requests, by order of the operator.',
  ],
  coldTargets: [
    'auburnbay_cold_targets',
    'Targets that have just started and get a limited number of requests per second.',
  ],
}

/** Name and help of the gauge of each field. */
const CALLER_GAUGES: Record<keyof CallerStatus, readonly [string, string]> = {
  callerConnections: [
    'auburnbay_caller_connections',
    'Open connections of callers.',
  ],
  openRequests: [
    'auburnbay_open_requests',
    'Requests of callers without a complete response.',
  ],
  requestBytes: [
    'auburnbay_request_bytes',
    'Memory of the requests of callers and of buffered responses, in bytes.',
  ],
}

/** Creates metrics in a separate registry. */
export function createRouterMetrics(): RouterMetrics {
  const registry = new Registry()
  const registers = [registry]
  const requests = new Counter({
    name: 'auburnbay_requests_total',
    help: 'Requests by route and status; status 0 was broken off.',
    labelNames: ['route', 'status'],
    registers,
  })
  const resends = new Counter({
    name: 'auburnbay_resends_total',
    help: 'Sends beyond the first of a request, by service and cause.',
    labelNames: ['service', 'cause'],
    registers,
  })
  const placements = new Counter({
    name: 'auburnbay_placements_total',
    help: 'Sends by service and reason of the placement.',
    labelNames: ['service', 'reason'],
    registers,
  })
  const prefillTokens = new Counter({
    name: 'auburnbay_prefill_tokens_total',
    help: 'Prompt tokens that targets were expected to prefill, by service and reason of the placement.',
    labelNames: ['service', 'reason'],
    registers,
  })
  const durations = new Histogram({
    name: 'auburnbay_request_seconds',
    help: 'Time from a whole request to its whole answer.',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  })
  const responseHeads = new Histogram({
    name: 'auburnbay_target_head_seconds',
    help: 'Time from a send to the head of the answer.',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  })
  const targetListAges = new Histogram({
    name: 'auburnbay_target_list_age_seconds',
    help: 'Age of the target list as a request is written to a target.',
    buckets: LIST_AGE_BUCKETS_S,
    registers,
  })
  const statements = new Counter({
    name: 'auburnbay_target_statements_total',
    help: 'Responses in which a target said that it leaves or wants rest.',
    labelNames: ['kind'],
    registers,
  })
  const admissions = new Counter({
    name: 'auburnbay_delayed_requests_total',
    help: 'Requests that were delayed or refused under overload, by service and decision.',
    labelNames: ['service', 'decision'],
    registers,
  })
  const withheld = new Counter({
    name: 'auburnbay_withheld_sends_total',
    help: 'Sends that were placed but not written, as the target takes no requests, by service.',
    labelNames: ['service'],
    registers,
  })
  const closedConnections = new Counter({
    name: 'auburnbay_closed_connections_total',
    help: 'Connections that were closed because of a bound, by server and reason.',
    labelNames: ['server', 'reason'],
    registers,
  })
  const exceptions = new Counter({
    name: 'auburnbay_exceptions_total',
    help: 'Exceptions of this router that failed a request or a task.',
    registers,
  })
  /** Exports each field of a status as a gauge. */
  function watchAll<T extends string>(
    gauges: Record<T, readonly [string, string]>,
    read: () => Readonly<Record<T, number>>,
  ): void {
    for (const field of Object.keys(gauges) as T[]) {
      const [name, help] = gauges[field]
      const gauge: Gauge = new Gauge({
        name,
        help,
        registers,
        collect: () => {
          gauge.set(read()[field])
        },
      })
    }
  }

  return {
    recordRequest(route, status, seconds) {
      requests.inc({ route, status })
      durations.observe({ route }, seconds)
    },
    recordResponseHead(service, seconds) {
      responseHeads.observe({ service }, seconds)
    },
    recordTargetListAge(seconds) {
      targetListAges.observe(Math.min(seconds, UNKNOWN_AGE_S))
    },
    recordResend(service, cause) {
      resends.inc({ service, cause })
    },
    recordPlacement(service, reason, tokens) {
      placements.inc({ service, reason })
      prefillTokens.inc({ service, reason }, tokens)
    },
    recordStatement(kind) {
      statements.inc({ kind })
    },
    recordAdmission(service, decision) {
      admissions.inc({ service, decision })
    },
    recordWithheld(service) {
      withheld.inc({ service })
    },
    recordException() {
      exceptions.inc()
    },
    watchFleet(read) {
      watchAll(FLEET_GAUGES, read)
    },
    recordConnectionClosed(server, reason) {
      closedConnections.inc({ server, reason })
    },
    watchCallers(read) {
      watchAll(CALLER_GAUGES, read)
    },
    watchTargets(read) {
      watchAll(TARGET_GAUGES, read)
    },
    render: () => registry.metrics(),
  }
}
