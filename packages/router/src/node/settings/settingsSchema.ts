import * as v from 'valibot'

const ADDRESS = /^([^:]+):(\d{1,5})$/

const addressSchema = v.pipe(
  v.string(),
  v.regex(ADDRESS, 'expected HOST:PORT'),
  v.transform((text) => {
    const [, host = '', port = ''] = ADDRESS.exec(text) ?? []
    return { host, port: Number(port) }
  }),
)

const positive = v.pipe(v.number(), v.integer(), v.minValue(1))
const nonNegative = v.pipe(v.number(), v.minValue(0))

/** Schema of a router's settings. */
export const settingsSchema = v.object({
  router: v.object({
    id: v.pipe(v.string(), v.minLength(1)),
    dataCentre: v.pipe(v.string(), v.minLength(1)),
    /**
     * Whether the whole fleet starts for the first time, so that no stream is older.
     * @default false
     */
    startsFleet: v.optional(v.boolean(), false),
  }),
  listen: v.object({
    callers: addressSchema,
    readiness: addressSchema,
    /** Endpoint for other routers, over TCP and UDP. */
    peers: addressSchema,
    /** Endpoint for Prometheus metrics; disabled if absent. */
    metrics: v.optional(addressSchema),
  }),
  /** Log service that stores the configuration and the target list. */
  logService: addressSchema,
  /**
   * Whether requests are delayed and refused here while a service has too little room.
   * @default false
   */
  overloadControl: v.optional(v.boolean(), false),
  /** Limits of the VM on this process; read from the operating system if absent. */
  limits: v.optional(
    v.object({
      /** Open files, sockets included. */
      descriptors: v.exactOptional(positive),
      /** Memory in MiB. */
      memoryMb: v.exactOptional(v.pipe(v.number(), v.minValue(1))),
    }),
    {},
  ),
  /** Bounds on what callers make the router hold; derived from the limits of the process if absent. */
  callers: v.exactOptional(
    v.partial(
      v.object({
        maxConnections: positive,
        /** Requests without a complete response. */
        maxRequests: positive,
        /** Memory of requests and buffered responses, in bytes. */
        maxBytes: positive,
        /** Bytes of request heads that have not ended. */
        maxHeadBytes: positive,
      }),
    ),
  ),
  bounds: v.object({
    /** Time until a draining target gets no more requests, in milliseconds. */
    drainMs: nonNegative,
    /** Time from SIGTERM until the process is killed, in seconds. */
    gracePeriodS: nonNegative,
    /** Time until a new configuration is active, in milliseconds. */
    configurationMs: nonNegative,
    /** Retries per request of a service, over all routers. */
    retryRatio: nonNegative,
    /** Retries per window in addition to the ratio. */
    retryAllowance: nonNegative,
    retryWindowS: nonNegative,
    /** Multiple of a cold target's requests per second that it may get in one second; unlimited if absent. */
    coldOverage: v.exactOptional(nonNegative),
    /** Requests in one second that a cold target may get in addition. */
    coldTolerance: v.optional(nonNegative, 0),
  }),
})

/** Settings of a router. */
export type RouterSettings = v.InferOutput<typeof settingsSchema>
