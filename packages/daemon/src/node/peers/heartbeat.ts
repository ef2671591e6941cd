import { z } from 'zod'

/** Checks the in-flight counts of a router. */
export const digestSchema = z.strictObject({
  /** Requests in flight from this router, by target. */
  targets: z.record(z.string(), z.int().min(0)),
  /** Requests waiting or in flight in this router, by customer. */
  customers: z.record(z.string(), z.int().min(0)),
  /** Requests started within the window of the customer's rate. */
  started: z.record(z.string(), z.int().min(0)).optional(),
  /** The same with the requests that were refused. */
  asked: z.record(z.string(), z.int().min(0)).optional(),
})

/** The in-flight counts of one router. */
export type Digest = z.infer<typeof digestSchema>

/** Checks a heartbeat. */
export const heartbeatSchema = z.strictObject({
  router: z.string(),
  /** Identity of this start of the router. */
  incarnation: z.string(),
  dataCentre: z.string(),
  configurationVersion: z.int(),
  stopping: z.boolean(),
  digest: digestSchema,
})

/** What routers tell each other at every heartbeat. */
export type Heartbeat = z.infer<typeof heartbeatSchema>
