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
import { collectAskSchema, grantAskSchema } from './grantSchemas.js'
import { type Heartbeat, heartbeatSchema } from './heartbeat.js'
import { wireCodec } from './wireCodec.js'

/** What a call between routers knows of its sender. */
export interface PeerContext {
  readonly authenticated: boolean
}

/** What a router does with the calls of its peers. */
export interface PeerHandlers {
  onHeartbeat(heartbeat: Heartbeat): Heartbeat
  /** Returns what a router that is behind needs; undefined without a log. */
  onConfigurationSince(
    since: ConfigurationTransferRequest,
  ): ConfigurationTransfer | undefined
  /** Takes a request for places as the home of its group. */
  onGrant(ask: GrantRequest): GrantResponse
  /** Tells a new home what is in flight from here. */
  onCollect(ask: CollectRequest): CollectResponse
}

/** Creates the procedures that routers offer each other. */

export function createPeerApi(handlers: PeerHandlers) {
  const t = initTRPC.context<PeerContext>().create({ transformer: wireCodec })
  const procedure = t.procedure.use(({ ctx, next }) => {
    if (!ctx.authenticated) throw new TRPCError({ code: 'UNAUTHORIZED' })
    return next()
  })
  return t.router({
    heartbeat: procedure
      .input(heartbeatSchema)
      .mutation(({ input }) => handlers.onHeartbeat(input)),
    configurationSince: procedure
      .input(configurationTransferRequestSchema)
      .mutation(({ input }) => handlers.onConfigurationSince(input)),
    grant: procedure
      .input(grantAskSchema)
      .mutation(({ input }) => handlers.onGrant(input)),
    collect: procedure
      .input(collectAskSchema)
      .mutation(({ input }) => handlers.onCollect(input)),
  })
}

/** Type of the procedures, for the client. */
export type PeerApi = ReturnType<typeof createPeerApi>
