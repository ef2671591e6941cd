import { readTlsFiles, type TlsFiles } from '@auburnbay/http-utils'
import { z } from 'zod'

function check(files: TlsFiles, ctx: z.RefinementCtx): void {
  const material = readTlsFiles(files)
  if (material.isErr())
    ctx.addIssue(`${material.error}; expected PEM files that belong together`)
}

/** Checks the TLS files of a listener. */
export const serverTlsSchema = z
  .strictObject({
    certFile: z.string().min(1),
    keyFile: z.string().min(1),
    /** With it, only clients with a certificate of this CA get in. */
    caFile: z.string().min(1).optional(),
  })
  .superRefine(check)

/** Checks the TLS files of a client. */
export const clientTlsSchema = z
  .strictObject({
    /** CA of the servers; those of the system without it. */
    caFile: z.string().min(1).optional(),
    certFile: z.string().min(1).optional(),
    keyFile: z.string().min(1).optional(),
  })
  .superRefine(check)
