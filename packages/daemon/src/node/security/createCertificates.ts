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

/** Creates servers and agents and gives them renewed certificates. */
export interface Certificates {
  /** Creates a server; TLS when files are named. */
  createServer(
    options: ServerOptions,
    listener: RequestListener,
    files?: TlsFiles,
  ): WebServer
  /** Creates an agent for kept connections; TLS when files are named. */
  createAgent(files?: TlsFiles, options?: TlsClientOptions): HttpAgent
  /** Makes a plain agent open its connections over TLS when files are named. */
  secure<T extends HttpAgent>(agent: T, files?: TlsFiles): T
  /** Takes renewed files into use; connections that are open stay. */
  readonly reload: () => void
  stop(): Promise<void>
}

/** How an agent checks servers. */
export interface TlsClientOptions {
  /** Whether the certificate must name the server's address. @default true */
  readonly checksName?: boolean
}

interface Follower {
  readonly files: TlsFiles
  material: TlsMaterial
  readonly apply: (material: TlsMaterial) => void
}

/** Starts following the certificate files; throws when a first one is unusable. */
export function createCertificates(
  pollMs: number,
  logger: ConsolaInstance,
): Certificates {
  const followers: Follower[] = []

  function load(files: TlsFiles): TlsMaterial {
    const material = readTlsFiles(files)
    if (material.isErr()) throw new Error(material.error)
    return material.value
  }

  function follow(follower: Follower): void {
    followers.push(follower)
  }

  function reload(): void {
    for (const follower of followers) {
      const read = readTlsFiles(follower.files)
      if (read.isErr()) {
        logger.error(`Keeping the old certificate: ${read.error}.`)
        continue
      }
      if (isDeepStrictEqual(read.value, follower.material)) continue
      follower.material = read.value
      follower.apply(read.value)
      logger.info(`Took ${follower.files.certFile ?? 'a CA'} into use.`)
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
      follow({ files, material, apply })
      return server
    },
    secure(agent, files) {
      if (!files) return agent
      const follower: Follower = {
        files,
        material: load(files),
        // Each connection reads the newest material when it opens.
        apply: () => undefined,
      }
      follow(follower)
      const createConnection = (options: ConnectionOptions): TLSSocket =>
        connect({ ...options, ...follower.material })
      Object.assign(agent, { createConnection })
      return agent
    },
    createAgent(files, { checksName = true } = {}) {
      if (!files) return new HttpAgent({ keepAlive: true })
      const material = load(files)
      const agent = new HttpsAgent({
        keepAlive: true,
        ...material,
        ...(checksName ? {} : { checkServerIdentity: () => undefined }),
      })
      // New connections take the agent's options; open ones go on as they are.
      const apply = (renewed: TlsMaterial): void => {
        Object.assign(agent.options, renewed)
      }
      follow({ files, material, apply })
      return agent
    },
  }
}
