import { z } from 'zod'
import { DEFAULT_CERTIFICATE_POLL_MS } from '../security/constants.js'
import { DEFAULT_METRICS_INTERVAL_MS } from '../metrics/constants.js'
import { secretSchema } from '../security/secretSchema.js'
import { clientTlsSchema, serverTlsSchema } from '../security/tlsSchema.js'
import { LogFormat } from './logFormat.js'

const listenSchema = z.strictObject({
  host: z.string().min(1),
  /** 0 takes a free port. */
  port: z.int().min(0).max(65_535),
  /** Plain HTTP without it. */
  tls: serverTlsSchema.optional(),
})

const positiveMs = z.int().positive()

/** Checks the daemon's settings file. */
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
    /** Milliseconds that the log keeps a record. @default 604800000 */
    retentionMs: positiveMs.default(604_800_000),
  }),
  orders: z
    .strictObject({
      /** Milliseconds that the right to send orders lasts. @default 15000 */
      leaseMs: positiveMs.default(15_000),
      /** Loads of weights a minute over the whole fleet. @default 6 */
      weightLoadsPerMinute: z.number().positive().default(6),
    })
    .prefault({}),
  vmList: z.strictObject({
    url: z.url(),
    /** @default 1000 */
    pollMs: positiveMs.default(1_000),
  }),
  secrets: z.strictObject({
    /** Shared by all routers. */
    peer: secretSchema,
    /** Signs affinity hints. */
    hint: secretSchema,
    /** Token of the first operator. */
    admin: secretSchema,
  }),
  certificates: z
    .strictObject({
      /** Milliseconds between two looks at the files. @default 30000 */
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
  /** StatsD address; metrics are off without it. */
  metrics: z
    .strictObject({
      host: z.string(),
      port: z.int().min(1).max(65_535),
      /** Milliseconds between two reports of gauges. @default 10000 */
      everyMs: positiveMs.default(DEFAULT_METRICS_INTERVAL_MS),
    })
    .optional(),
  /** OTLP address over HTTP; traces are off without it. */
  traces: z.strictObject({ url: z.url() }).optional(),
  callers: z
    .strictObject({
      /** @default 4194304 */
      maxBodyBytes: z.int().positive().default(4_194_304),
      /** @default 16384 */
      maxHeaderBytes: z.int().positive().default(16_384),
      /** Milliseconds until a request's headers must be whole. @default 5000 */
      headersTimeoutMs: positiveMs.default(5_000),
      /** Milliseconds until a request must be whole. @default 30000 */
      requestTimeoutMs: positiveMs.default(30_000),
      /** Open connections from one address; behind a balancer that is the balancer's. */
      maxConnectionsPerAddress: z.int().positive().optional(),
      /** Open connections of one customer. @default 1024 */
      maxConnectionsPerCustomer: z.int().positive().default(1_024),
    })
    .prefault({}),
  targets: z
    .strictObject({
      /** TLS towards every target; plain HTTP without it. */
      tls: clientTlsSchema.optional(),
      /** @default 1000 */
      connectTimeoutMs: positiveMs.default(1_000),
      /** Milliseconds until the first byte of an answer. @default 30000 */
      firstByteTimeoutMs: positiveMs.default(30_000),
      /** Milliseconds between two bytes of an answer. @default 10000 */
      idleTimeoutMs: positiveMs.default(10_000),
      /** Milliseconds that a connection is kept without a request. @default 4000 */
      pooledIdleMs: positiveMs.default(4_000),
      /** Milliseconds between two load reports. @default 2000 */
      reportMs: positiveMs.default(2_000),
    })
    .prefault({}),
  queue: z
    .strictObject({
      /** Requests of one service in flight from this router. @default 256 */
      maxInFlight: z.int().positive().default(256),
      /** Requests of one service that wait at most. @default 1024 */
      maxWaiting: z.int().positive().default(1_024),
      /** Milliseconds that halve a customer's past service. @default 10000 */
      shareHalfLifeMs: positiveMs.default(10_000),
      /** Longest time in ms that working off a queue may take. @default 2000 */
      drainMs: positiveMs.default(2_000),
      /** Milliseconds of waiting that improve a rank by one. @default 10000 */
      ageingMs: positiveMs.default(10_000),
      /** Share of a service's places that only rank 0 takes. @default 0.03 */
      urgentShare: z.number().min(0).max(0.5).default(0.03),
      /** Longest wait of a request without a deadline, in ms. @default 10000 */
      maxWaitMs: positiveMs.default(10_000),
    })
    .prefault({}),
  limits: z
    .strictObject({
      /**
       * Milliseconds for which the use that a silent peer last told of counts
       * on; the longest answers should be shorter. @default 120000
       */
      silentHoldMs: positiveMs.default(120_000),
    })
    .prefault({}),
  retries: z
    .strictObject({
      /** Retries for each first try of a service. @default 0.2 */
      ratio: z.number().min(0).max(1).default(0.2),
      /** Retries that a service saves up at most. @default 20 */
      burst: z.int().min(1).default(20),
      /** Retries before first tries have earned any. @default 10 */
      reserve: z.int().min(0).default(10),
    })
    .prefault({}),
  health: z
    .strictObject({
      /** Failures in a row that eject a target. @default 3 */
      consecutiveFailures: z.int().positive().default(3),
      /** Outcomes that a success rate is taken over. @default 20 */
      rateOutcomes: z.int().positive().default(20),
      /** Gap to the median success rate that ejects. @default 0.3 */
      maxRateGap: z.number().positive().max(1).default(0.3),
      /** First hold-down in ms; each further one doubles it. @default 1000 */
      baseHoldMs: positiveMs.default(1_000),
      /** Longest hold-down, in milliseconds. @default 60000 */
      maxHoldMs: positiveMs.default(60_000),
      /** Share of a service's targets ejected at once. @default 0.5 */
      maxEjectedShare: z.number().min(0).max(1).default(0.5),
    })
    .prefault({}),
  routing: z
    .strictObject({
      /** Milliseconds that a request waits for its group's home. @default 5 */
      homeLimitMs: positiveMs.default(5),
      /** Chats whose target the home remembers from cache events. @default 100000 */
      indexedChats: z.int().positive().default(100_000),
      /** Share of a service's targets that may vanish at once. @default 0.5 */
      maxVanished: z.number().min(0).max(1).default(0.5),
    })
    .prefault({}),
  peers: z
    .strictObject({
      /** @default 2000 */
      heartbeatMs: positiveMs.default(2_000),
      /** Milliseconds without a heartbeat until a peer counts as gone. @default 5000 */
      timeoutMs: positiveMs.default(5_000),
    })
    .prefault({}),
  claims: z
    .strictObject({
      /** Milliseconds between two appends of claims. @default 50 */
      batchMs: positiveMs.default(50),
      /** Milliseconds until a claim that the log has not decided is refused. @default 1500 */
      decideTimeoutMs: positiveMs.default(1_500),
      /** Claims that a router remembers; older keys are refused. @default 50000 */
      maxClaims: z.int().positive().default(50_000),
      /**
       * Milliseconds for which the log surely keeps a record; lets a new router
       * accept keys at once where the log has dropped all claims. @default 0
       */
      logRetentionMs: z.int().min(0).default(0),
      /**
       * Accepts idempotency keys without a time of their own; such a key runs
       * at most once only while the log holds its claim. @default false
       */
      acceptUndatedKeys: z.boolean().default(false),
    })
    .prefault({}),
  stopping: z
    .strictObject({
      /** Milliseconds between failing readiness and refusing work. @default 2000 */
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
