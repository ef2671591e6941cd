import { z } from 'zod'
import { DEFAULT_CERTIFICATE_POLL_MS } from '../security/constants.js'
import { DEFAULT_METRICS_INTERVAL_MS } from '../metrics/constants.js'
import { secretSchema } from '../security/secretSchema.js'
import { clientTlsSchema, serverTlsSchema } from '../security/tlsSchema.js'
import { LogFormat } from './logFormat.js'

const listenSchema = z.strictObject({
  host: z.string().min(1),
  /** 0 binds to a free port. */
  port: z.int().min(0).max(65_535),
  /** Plain HTTP when absent. */
  tls: serverTlsSchema.optional(),
})

const positiveMs = z.int().positive()

/** Schema of the daemon's settings file. */
export const settingsSchema = z.strictObject({
  router: z.strictObject({
    id: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/),
    dataCentre: z.string().min(1),
  }),
  listen: z.strictObject({
    callers: listenSchema,
    peers: listenSchema,
    admin: listenSchema,
  }),
  logService: z.strictObject({
    url: z.url(),
    /** Retention time of the log, in milliseconds. @default 604800000 */
    retentionMs: positiveMs.default(604_800_000),
  }),
  orders: z
    .strictObject({
      /** Duration of the lease to send orders, in milliseconds. @default 15000 */
      leaseMs: positiveMs.default(15_000),
      /** Weight loads per minute in the whole fleet. @default 6 */
      weightLoadsPerMinute: z.number().positive().default(6),
    })
    .prefault({}),
  vmList: z.strictObject({
    url: z.url(),
    /** Milliseconds between two polls. @default 1000 */
    pollMs: positiveMs.default(1_000),
  }),
  secrets: z.strictObject({
    /** Authenticates routers to each other; the same on all routers. */
    peer: secretSchema,
    /** Signs affinity hints. */
    hint: secretSchema,
    /** Token of the first operator. */
    admin: secretSchema,
  }),
  certificates: z
    .strictObject({
      /** Milliseconds between two checks of the files for changes. @default 30000 */
      pollMs: positiveMs.default(DEFAULT_CERTIFICATE_POLL_MS),
    })
    .prefault({}),
  logs: z
    .strictObject({
      /** @default "human" */
      format: z.enum(LogFormat).default(LogFormat.Human),
      /** 0 errors, 1 warnings, 3 information, 4 debug. @default 3 */
      level: z.int().min(0).max(5).default(3),
    })
    .prefault({}),
  /** StatsD address; metrics are off when absent. */
  metrics: z
    .strictObject({
      host: z.string(),
      port: z.int().min(1).max(65_535),
      /** Milliseconds between two reports of gauges. @default 10000 */
      everyMs: positiveMs.default(DEFAULT_METRICS_INTERVAL_MS),
    })
    .optional(),
  /** OTLP endpoint over HTTP; traces are off when absent. */
  traces: z.strictObject({ url: z.url() }).optional(),
  callers: z
    .strictObject({
      /** Largest request body, in bytes. @default 4194304 */
      maxBodyBytes: z.int().positive().default(4_194_304),
      /** Largest header section of a request, in bytes. @default 16384 */
      maxHeaderBytes: z.int().positive().default(16_384),
      /** Milliseconds within which a request's headers must arrive. @default 5000 */
      headersTimeoutMs: positiveMs.default(5_000),
      /** Milliseconds within which a request must arrive in full. @default 30000 */
      requestTimeoutMs: positiveMs.default(30_000),
      /**
       * Most open connections from one address; behind a load balancer that is the
       * balancer's address.
       */
      maxConnectionsPerAddress: z.int().positive().optional(),
      /** Most open connections of one customer. @default 1024 */
      maxConnectionsPerCustomer: z.int().positive().default(1_024),
    })
    .prefault({}),
  targets: z
    .strictObject({
      /** TLS for connections to targets; plain HTTP when absent. */
      tls: clientTlsSchema.optional(),
      /** Timeout of opening a connection, in milliseconds. @default 1000 */
      connectTimeoutMs: positiveMs.default(1_000),
      /** Timeout until the first byte of a response, in milliseconds. @default 30000 */
      firstByteTimeoutMs: positiveMs.default(30_000),
      /** Timeout between two chunks of a response, in milliseconds. @default 10000 */
      idleTimeoutMs: positiveMs.default(10_000),
      /** Milliseconds until an idle pooled connection is closed. @default 4000 */
      pooledIdleMs: positiveMs.default(4_000),
      /** Milliseconds between two load reports. @default 2000 */
      reportMs: positiveMs.default(2_000),
    })
    .prefault({}),
  queue: z
    .strictObject({
      /** Most requests of one service in flight from this router. @default 256 */
      maxInFlight: z.int().positive().default(256),
      /** Most queued requests of one service. @default 1024 */
      maxWaiting: z.int().positive().default(1_024),
      /**
       * Half-life of a customer's past usage in fair queueing, in milliseconds.
       * @default 10000
       */
      shareHalfLifeMs: positiveMs.default(10_000),
      /** Longest expected time to drain a queue, in milliseconds. @default 2000 */
      drainMs: positiveMs.default(2_000),
      /** Waiting time that improves a rank by one, in milliseconds. @default 10000 */
      ageingMs: positiveMs.default(10_000),
      /** Share of a service's slots that are reserved for rank 0. @default 0.03 */
      urgentShare: z.number().min(0).max(0.5).default(0.03),
      /** Longest wait of a request without a deadline, in milliseconds. @default 10000 */
      maxWaitMs: positiveMs.default(10_000),
    })
    .prefault({}),
  limits: z
    .strictObject({
      /**
       * Milliseconds for which the usage last reported by an unresponsive peer
       * still counts; should exceed the duration of the longest responses.
       * @default 120000
       */
      silentHoldMs: positiveMs.default(120_000),
    })
    .prefault({}),
  retries: z
    .strictObject({
      /** Retries earned by each first attempt of a service. @default 0.2 */
      ratio: z.number().min(0).max(1).default(0.2),
      /** Most retries that a service can accumulate. @default 20 */
      burst: z.int().min(1).default(20),
      /** Retries available before first attempts have earned any. @default 10 */
      reserve: z.int().min(0).default(10),
    })
    .prefault({}),
  health: z
    .strictObject({
      /** Consecutive failures that eject a target. @default 3 */
      consecutiveFailures: z.int().positive().default(3),
      /** Outcomes over which a success rate is computed. @default 20 */
      rateOutcomes: z.int().positive().default(20),
      /** Difference to the median success rate that ejects a target. @default 0.3 */
      maxRateGap: z.number().positive().max(1).default(0.3),
      /** First hold-down in milliseconds; doubles with each ejection. @default 1000 */
      baseHoldMs: positiveMs.default(1_000),
      /** Longest hold-down, in milliseconds. @default 60000 */
      maxHoldMs: positiveMs.default(60_000),
      /** Largest share of a service's targets ejected at the same time. @default 0.5 */
      maxEjectedShare: z.number().min(0).max(1).default(0.5),
    })
    .prefault({}),
  routing: z
    .strictObject({
      /** Timeout of a request to the group coordinator, in milliseconds. @default 5 */
      homeLimitMs: positiveMs.default(5),
      /** Chats whose target the coordinator tracks from cache events. @default 100000 */
      indexedChats: z.int().positive().default(100_000),
      /** Largest share of a service's targets that may disappear at once. @default 0.5 */
      maxVanished: z.number().min(0).max(1).default(0.5),
    })
    .prefault({}),
  peers: z
    .strictObject({
      /** Milliseconds between two heartbeats. @default 2000 */
      heartbeatMs: positiveMs.default(2_000),
      /** Milliseconds without a heartbeat until a peer counts as dead. @default 5000 */
      timeoutMs: positiveMs.default(5_000),
    })
    .prefault({}),
  claims: z
    .strictObject({
      /** Milliseconds between two batched appends of claims. @default 50 */
      batchMs: positiveMs.default(50),
      /**
       * Milliseconds until a claim that the log has not decided is refused.
       * @default 1500
       */
      decideTimeoutMs: positiveMs.default(1_500),
      /** Claims kept in memory; older keys are refused. @default 50000 */
      maxClaims: z.int().positive().default(50_000),
      /**
       * Guaranteed retention time of the log, in milliseconds; lets a new router
       * accept keys at once when the log has dropped all claims. @default 0
       */
      logRetentionMs: z.int().min(0).default(0),
      /**
       * Accepts idempotency keys without a timestamp; a request with such a key
       * runs at most once only while the log holds its claim. @default false
       */
      acceptUndatedKeys: z.boolean().default(false),
    })
    .prefault({}),
  stopping: z
    .strictObject({
      /** Milliseconds between failing readiness and refusing requests. @default 2000 */
      balancerDelayMs: z.int().min(0).default(2_000),
      /** Longest wait for requests in flight, in milliseconds. @default 120000 */
      drainTimeoutMs: positiveMs.default(120_000),
    })
    .prefault({}),
})

/** Settings as written by an operator. */
export type Settings = z.input<typeof settingsSchema>
/** Settings with every default filled in. */
export type ResolvedSettings = z.output<typeof settingsSchema>
