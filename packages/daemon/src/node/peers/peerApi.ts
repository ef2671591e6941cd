import { initTRPC, TRPCError } from '@trpc/server'
import {
  type ConfigurationTransferRequest,
  configurationTransferRequestSchema,
  type ConfigurationTransfer,
} from '../configuration/configurationTransfer.js'
import type {
  CollectRequest,
  CollectResponse,
  GrantRequest,
  GrantResponse,
} from '@auburnbay/core'
import { collectRequestSchema, grantRequestSchema } from './grantSchemas.js'
import { type Heartbeat, heartbeatSchema } from './heartbeat.js'
import { wireCodec } from './wireCodec.js'

/** Context of a call from another router. */
export interface PeerContext {
  /** Whether the caller sent the shared secret. */
  readonly authenticated: boolean
}

/** Handlers of the calls from peers. */
export interface PeerHandlers {
  handleHeartbeat(heartbeat: Heartbeat): Heartbeat
  /** Returns records or a snapshot that a peer lacks; undefined without a log. */
  handleTransferRequest(
    request: ConfigurationTransferRequest,
  ): ConfigurationTransfer | undefined
  /** Handles a request for slots as the coordinator of its group. */
  handleGrantRequest(request: GrantRequest): GrantResponse
  /** Returns the in-flight counts of this router to a new coordinator. */
  handleCollectRequest(request: CollectRequest): CollectResponse
}

/** Creates the tRPC procedures that routers call on each other. */
export function createPeerApi(handlers: PeerHandlers) {
  const t = initTRPC.context<PeerContext>().create({ transformer: wireCodec })
  const procedure = t.procedure.use(({ ctx, next }) => {
    if (!ctx.authenticated) throw new TRPCError({ code: 'UNAUTHORIZED' })
    return next()
  })
  return t.router({
    heartbeat: procedure
      .input(heartbeatSchema)
      .mutation(({ input }) => handlers.handleHeartbeat(input)),
    configurationSince: procedure
      .input(configurationTransferRequestSchema)
      .mutation(({ input }) => handlers.handleTransferRequest(input)),
    grant: procedure
      .input(grantRequestSchema)
      .mutation(({ input }) => handlers.handleGrantRequest(input)),
    collect: procedure
      .input(collectRequestSchema)
      .mutation(({ input }) => handlers.handleCollectRequest(input)),
  })
}

/** Type of the tRPC router, for the client. */
export type PeerApi = ReturnType<typeof createPeerApi>
