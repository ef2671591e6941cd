import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http'
import {
  CONFIGURATION_SCHEMA,
  type PatchOutcome,
  PatchOutcomeKind,
  patchRecordSchema,
} from '@auburnbay/core'
import {
  closeServer,
  listen,
  type ListenAddress,
  readBody,
  sendJson,
} from '@auburnbay/http-utils'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import { configurationStatus } from '../configuration/configurationStatus.js'
import { findOutcome } from './findOutcome.js'
import type { LogClient } from '../logService/logClient.js'
import type { Membership } from '../membership/createMembership.js'
import { secretsMatch } from '../peers/peerSecret.js'
import type { Routing } from '../routing/routing.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { moveConfiguration } from './moveConfiguration.js'
import { SubmissionKind, submitPatch } from './submitPatch.js'

/** What the administration API works with. */
export interface AdminServerOptions {
  readonly settings: ResolvedSettings
  readonly log: LogClient
  readonly tailer: ConfigurationTailer
  readonly membership: Membership
  readonly routing: Routing
}

/** The listener for operators. */
export interface AdminServer {
  readonly address: ListenAddress
  stop(): Promise<void>
}

const OUTCOME_STATUS: Readonly<Record<PatchOutcomeKind, number>> = {
  [PatchOutcomeKind.Applied]: 200,
  [PatchOutcomeKind.Duplicate]: 200,
  [PatchOutcomeKind.Conflict]: 409,
  [PatchOutcomeKind.Invalid]: 422,
}

const SUBMISSION_STATUS = {
  [SubmissionKind.NotAppended]: 503,
  [SubmissionKind.Unknown]: 504,
} as const

function sendError(res: ServerResponse, status: number, message: string): void {
  sendJson(res, status, { error: { message } })
}

function sendOutcome(
  res: ServerResponse,
  patchId: string,
  outcome: PatchOutcome | undefined,
): void {
  if (outcome) {
    sendJson(res, OUTCOME_STATUS[outcome.kind], outcome)
    return
  }
  const message = `the log has not confirmed the patch; ask again for patch ${patchId}`
  sendError(res, 504, message)
}

/** Starts listening for operators. */
export async function createAdminServer(
  options: AdminServerOptions,
): Promise<AdminServer> {
  const { settings, log, tailer, membership, routing } = options

  async function submit(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const body = await readBody(req, settings.callers.maxBodyBytes)
    if (body.isErr()) {
      sendError(res, 413, 'the patch is too large')
      return
    }
    let value: unknown
    try {
      value = JSON.parse(body.value.toString('utf8'))
    } catch {
      sendError(res, 400, 'the patch is not JSON')
      return
    }
    const parsed = patchRecordSchema.safeParse({
      ...(value as object),
      type: 'patch',
      schema: CONFIGURATION_SCHEMA,
    })
    if (!parsed.success) {
      sendError(res, 400, parsed.error.message)
      return
    }
    const submission = await submitPatch(log, tailer, parsed.data)
    if (submission.kind === SubmissionKind.Decided)
      sendOutcome(res, parsed.data.patchId, submission.outcome)
    else sendError(res, SUBMISSION_STATUS[submission.kind], submission.message)
  }

  async function move(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const body = await readBody(req, settings.callers.maxBodyBytes)
    const text = body.isOk() ? body.value.toString('utf8') : ''
    const moved = await moveConfiguration(log, tailer, text)
    if (moved.isErr()) sendError(res, moved.error.status, moved.error.message)
    else sendJson(res, 200, configurationStatus(settings, tailer, membership))
  }

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const { pathname } = new URL(req.url ?? '/', 'http://admin')
    const token = /^Bearer (\S+)$/.exec(req.headers.authorization ?? '')?.[1]
    if (!secretsMatch(token ?? '', settings.secrets.admin)) {
      sendError(res, 401, 'send an operator token')
      return
    }
    const patchId = /^\/config\/patches\/([\w.-]+)$/.exec(pathname)?.[1]
    if (pathname === '/config/patches' && req.method === 'POST')
      await submit(req, res)
    else if (patchId !== undefined)
      sendOutcome(res, patchId, await findOutcome(tailer, patchId))
    else if (pathname === '/config') {
      const { version, configuration, problem } = tailer.state
      sendJson(res, 200, { version, configuration, problem })
    } else if (pathname === '/config/move' && req.method === 'POST') {
      await move(req, res)
    } else if (pathname === '/config/status') {
      sendJson(res, 200, configurationStatus(settings, tailer, membership))
    } else if (pathname === '/routers')
      sendJson(res, 200, membership.livePeers())
    else if (pathname === '/targets') sendJson(res, 200, routing.status())
    else sendError(res, 404, 'unknown path; see docs/admin-api.md')
  }

  const server = createServer((req, res) => {
    serve(req, res).catch((error: unknown) => {
      sendError(res, 500, String(error))
    })
  })
  const address = await listen(server, settings.listen.admin)
  return {
    address,
    stop: async () => {
      const closed = closeServer(server)
      server.closeAllConnections()
      await closed
    },
  }
}
