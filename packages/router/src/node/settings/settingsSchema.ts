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

const positive = v.pipe(v.number(), v.minValue(0))

/** Checks the settings of a router. */
export const settingsSchema = v.object({
  router: v.object({
    id: v.pipe(v.string(), v.minLength(1)),
    dataCentre: v.pipe(v.string(), v.minLength(1)),
  }),
  listen: v.object({
    callers: addressSchema,
    readiness: addressSchema,
    /** For other routers, over TCP and UDP. */
    peers: addressSchema,
    /** Metrics as text; off without it. */
    metrics: v.optional(addressSchema),
  }),
  /** The service that keeps configuration and targets. */
  logService: addressSchema,
  bounds: v.object({
    /** Milliseconds within which a leaving target gets no more work. */
    drainMs: positive,
    /** Seconds from the order to stop until the process is killed. */
    gracePeriodS: positive,
    /** Milliseconds within which a configuration is in force. */
    configurationMs: positive,
    /** Second sends for each request of a service, over all routers. */
    retryRatio: positive,
    /** Second sends in a window beyond the ratio. */
    retryAllowance: positive,
    retryWindowS: positive,
  }),
})

/** Settings of a router. */
export type RouterSettings = v.InferOutput<typeof settingsSchema>
