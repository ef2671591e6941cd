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

/** Checks what a heartbeat says of the sender's configuration. */
export const configurationDigestSchema = z.object({
  /** Hash over all patches that led to the version. */
  digest: z.string(),
  /** Log offset that is read next. */
  nextOffset: z.int().min(0),
  logId: z.string().optional(),
  /** Whether the sender reads the log and it answers. */
  readsLog: z.boolean(),
  /** Kind of the fault for which the sender keeps its version. */
  problem: z.string().optional(),
})

/** Checks a heartbeat; unknown fields come from newer releases. */
export const heartbeatSchema = z.object({
  router: z.string(),
  /** Identity of this start of the router. */
  incarnation: z.string(),
  dataCentre: z.string(),
  configurationVersion: z.int(),
  /** Absent from older releases. */
  configuration: configurationDigestSchema.optional(),
  /** Milliseconds since some router saw each of these VMs leave. */
  leaving: z.record(z.string(), z.number().min(0)).optional(),
  stopping: z.boolean(),
  digest: digestSchema,
})

/** What routers tell each other at every heartbeat. */
export type Heartbeat = z.infer<typeof heartbeatSchema>
