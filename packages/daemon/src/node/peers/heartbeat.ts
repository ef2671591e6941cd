import { z } from 'zod'

/** Validates the in-flight counts of a router. */
export const digestSchema = z.strictObject({
  /** Requests in flight from this router, by target. */
  targets: z.record(z.string(), z.int().min(0)),
  /** Requests waiting or in flight in this router, by customer. */
  customers: z.record(z.string(), z.int().min(0)),
  /** Requests started within the rate window, by customer. */
  started: z.record(z.string(), z.int().min(0)).optional(),
  /** Requests received within the rate window, including refused ones. */
  asked: z.record(z.string(), z.int().min(0)).optional(),
})

/** The in-flight counts of one router. */
export type Digest = z.infer<typeof digestSchema>

/** Validates the configuration state that a heartbeat reports. */
export const configurationDigestSchema = z.object({
  /** Hash of all patches up to the version. */
  digest: z.string(),
  /** Next log offset to read. */
  nextOffset: z.int().min(0),
  logId: z.string().optional(),
  /** Whether the sender reads the log and the log responds. */
  readsLog: z.boolean(),
  /** Kind of the problem that keeps the sender from updating its version. */
  problem: z.string().optional(),
})

/** Validates a heartbeat; ignores unknown fields, which newer releases send. */
export const heartbeatSchema = z.object({
  router: z.string(),
  /** Identity of the router's process start. */
  incarnation: z.string(),
  dataCentre: z.string(),
  configurationVersion: z.int(),
  /** Absent from older releases. */
  configuration: configurationDigestSchema.optional(),
  /** Milliseconds since some router saw each of these VMs leave, by VM id. */
  leaving: z.record(z.string(), z.number().min(0)).optional(),
  stopping: z.boolean(),
  digest: digestSchema,
})

/** Message that routers exchange at every heartbeat. */
export type Heartbeat = z.infer<typeof heartbeatSchema>
