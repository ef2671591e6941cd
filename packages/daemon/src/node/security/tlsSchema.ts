import { readTlsFiles, type TlsFiles } from '@auburnbay/http-utils'
import { z } from 'zod'

function checkFiles(files: TlsFiles, ctx: z.RefinementCtx): void {
  const material = readTlsFiles(files)
  if (material.isErr())
    ctx.addIssue(`${material.error}; expected PEM files that belong together`)
}

/** Validates the TLS files of a server. */
export const serverTlsSchema = z
  .strictObject({
    certFile: z.string().min(1),
    keyFile: z.string().min(1),
    /** If set, clients must present a certificate signed by this CA. */
    caFile: z.string().min(1).optional(),
  })
  .superRefine(checkFiles)

/** Validates the TLS files of a client. */
export const clientTlsSchema = z
  .strictObject({
    /** CA that signs the servers' certificates; defaults to the system's CAs. */
    caFile: z.string().min(1).optional(),
    certFile: z.string().min(1).optional(),
    keyFile: z.string().min(1).optional(),
  })
  .superRefine(checkFiles)
