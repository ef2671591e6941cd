import { readFileSync } from 'node:fs'
import { createSecureContext } from 'node:tls'
import { err, ok, type Result } from 'neverthrow'

/** Paths of the PEM files of a server or client. */
export interface TlsFiles {
  readonly certFile?: string
  readonly keyFile?: string
  /** CA certificates that must have signed the peer's certificate. */
  readonly caFile?: string
}

/** Contents of the PEM files. */
export interface TlsMaterial {
  readonly cert?: string
  readonly key?: string
  readonly ca?: string
}

function read(path: string | undefined): string | undefined {
  return path === undefined ? undefined : readFileSync(path, 'utf8')
}

/** Reads the files and checks that they match; the error contains no file contents. */
export function readTlsFiles(files: TlsFiles): Result<TlsMaterial, string> {
  try {
    const material = {
      cert: read(files.certFile),
      key: read(files.keyFile),
      ca: read(files.caFile),
    }
    createSecureContext(material)
    return ok(material)
  } catch (error) {
    const names = Object.values(files).join(', ')
    return err(`${names}: ${(error as Error).message}`)
  }
}
