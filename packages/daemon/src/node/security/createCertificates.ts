import {
  Agent as HttpAgent,
  type RequestListener,
  type ServerOptions,
} from 'node:http'
import { Agent as HttpsAgent } from 'node:https'
import { connect, type ConnectionOptions, type TLSSocket } from 'node:tls'
import { isDeepStrictEqual } from 'node:util'
import {
  createWebServer,
  readTlsFiles,
  type TlsFiles,
  type TlsMaterial,
  type WebServer,
} from '@auburnbay/http-utils'
import type { ConsolaInstance } from 'consola'
import { createLoop } from '../tasks/createLoop.js'

/** Creates servers and agents and updates their certificates on renewal. */
export interface Certificates {
  /** Creates a server, with TLS if files are given. */
  createServer(
    options: ServerOptions,
    listener: RequestListener,
    files?: TlsFiles,
  ): WebServer
  /** Creates a keep-alive agent, with TLS if files are given. */
  createAgent(files?: TlsFiles, options?: TlsClientOptions): HttpAgent
  /** Makes a plain HTTP agent connect over TLS if files are given. */
  enableTls<T extends HttpAgent>(agent: T, files?: TlsFiles): T
  /** Loads changed files for new connections; open connections stay. */
  readonly reload: () => void
  stop(): Promise<void>
}

/** How an agent verifies servers. */
export interface TlsClientOptions {
  /** Whether the certificate must match the server's address. @default true */
  readonly verifyHostname?: boolean
}

/** A server or agent whose certificate is updated on renewal. */
interface CertificateUser {
  readonly files: TlsFiles
  material: TlsMaterial
  readonly apply: (material: TlsMaterial) => void
}

/**
 * Starts to poll the certificate files for changes.
 *
 * Creating a server or an agent throws when its files cannot be loaded.
 */
export function createCertificates(
  pollMs: number,
  logger: ConsolaInstance,
): Certificates {
  const users: CertificateUser[] = []

  function load(files: TlsFiles): TlsMaterial {
    const material = readTlsFiles(files)
    if (material.isErr()) throw new Error(material.error)
    return material.value
  }

  function reload(): void {
    for (const user of users) {
      const read = readTlsFiles(user.files)
      if (read.isErr()) {
        logger.error(
          `Cannot reload TLS files, keeping the current certificate: ${read.error}.`,
        )
        continue
      }
      if (isDeepStrictEqual(read.value, user.material)) continue
      user.material = read.value
      user.apply(read.value)
      logger.info(`Reloaded TLS files: ${user.files.certFile ?? 'CA only'}.`)
    }
  }

  const loop = createLoop(
    () => {
      reload()
      return Promise.resolve()
    },
    pollMs,
    (error) => {
      logger.error(error)
    },
  )

  return {
    reload,
    stop: () => loop.stop(),
    createServer(options, listener, files) {
      if (!files) return createWebServer(options, listener)
      const material = load(files)
      const server = createWebServer(options, listener, material)
      const apply = (renewed: TlsMaterial): void => {
        if ('setSecureContext' in server) server.setSecureContext(renewed)
      }
      users.push({ files, material, apply })
      return server
    },
    enableTls(agent, files) {
      if (!files) return agent
      const user: CertificateUser = {
        files,
        material: load(files),
        // createConnection reads the current material for each connection.
        apply: () => undefined,
      }
      users.push(user)
      const createConnection = (options: ConnectionOptions): TLSSocket =>
        connect({ ...options, ...user.material })
      Object.assign(agent, { createConnection })
      return agent
    },
    createAgent(files, { verifyHostname = true } = {}) {
      if (!files) return new HttpAgent({ keepAlive: true })
      const material = load(files)
      const agent = new HttpsAgent({
        keepAlive: true,
        ...material,
        ...(verifyHostname ? {} : { checkServerIdentity: () => undefined }),
      })
      // The agent's options apply to new connections; open ones are unaffected.
      const apply = (renewed: TlsMaterial): void => {
        Object.assign(agent.options, renewed)
      }
      users.push({ files, material, apply })
      return agent
    },
  }
}
