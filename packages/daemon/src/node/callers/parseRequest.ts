import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import {
  CHAT_HEADER,
  type Configuration,
  DEADLINE_HEADER,
  FailureCode,
  findCustomer,
  findRank,
  HINT_HEADER,
  IDEMPOTENT_HEADER,
  REQUEST_KIND_HEADER,
  type RequestFailure,
  ServiceKind,
} from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { CHAT_PATH, SERVICE_PATH_PREFIX } from '../constants.js'
import { createFailure } from './createFailure.js'
import type { RoutedRequest } from './routedRequest.js'

/** Options for {@link parseRequest}. */
export interface ParseRequestOptions {
  readonly configuration: Configuration
  readonly body: Buffer
  readonly signal: AbortSignal
  /** Milliseconds since the epoch. */
  readonly nowMs: number
}

/** The service that a request names and the path to send to its target. */
interface Destination {
  readonly service: string
  readonly kind: ServiceKind
  readonly path: string
}

const chatBodySchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().optional(),
})

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])

function readHeader(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Returns the customer whose key the request carries. */
export function authenticate(
  req: IncomingMessage,
  cfg: Configuration,
  nowMs: number,
): Result<string, RequestFailure> {
  const match = /^Bearer (\S+)$/i.exec(req.headers.authorization ?? '')
  if (!match?.[1]) {
    const message = 'send your key as `Authorization: Bearer KEY`'
    return err(createFailure(FailureCode.MissingKey, message))
  }
  const customer = findCustomer(cfg, match[1], nowMs)
  if (customer !== undefined) return ok(customer)
  const message = 'the key is wrong or has expired; ask your operator for one'
  return err(createFailure(FailureCode.WrongKey, message))
}

function parseChat(body: Buffer): Result<Destination, RequestFailure> {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch {
    const message = 'the body is not JSON; send a chat completion request'
    return err(createFailure(FailureCode.BadRequest, message))
  }
  const parsed = chatBodySchema.safeParse(value)
  if (parsed.success)
    return ok({
      service: parsed.data.model,
      kind: ServiceKind.Model,
      path: CHAT_PATH,
    })
  const message = parsed.error.issues
    .map((issue) => `${issue.path.join('.')}: ${issue.message}`)
    .join('; ')
  return err(createFailure(FailureCode.BadRequest, message))
}

function findDestination(
  req: IncomingMessage,
  body: Buffer,
): Result<Destination, RequestFailure> {
  const url = req.url ?? '/'
  if (url === CHAT_PATH && req.method === 'POST') return parseChat(body)
  if (url.startsWith(SERVICE_PATH_PREFIX)) {
    const rest = url.slice(SERVICE_PATH_PREFIX.length)
    const service = /^[^/?]*/.exec(rest)?.[0] ?? ''
    const path = rest.slice(service.length)
    return ok({
      service,
      kind: ServiceKind.Plain,
      path: path.startsWith('/') ? path : `/${path}`,
    })
  }
  const message = `unknown path; use POST ${CHAT_PATH} or ${SERVICE_PATH_PREFIX}NAME/`
  return err(createFailure(FailureCode.NotFound, message))
}

function parseDeadline(
  req: IncomingMessage,
  nowMs: number,
): Result<number | undefined, RequestFailure> {
  const text = readHeader(req, DEADLINE_HEADER)
  if (text === undefined) return ok(undefined)
  if (/^\d{1,9}$/.test(text)) return ok(nowMs + Number(text))
  const message = `${DEADLINE_HEADER} takes whole milliseconds`
  return err(createFailure(FailureCode.BadRequest, message))
}

function isIdempotent(req: IncomingMessage, kind: ServiceKind): boolean {
  const declared = readHeader(req, IDEMPOTENT_HEADER)
  if (declared !== undefined) return declared === 'true'
  return kind === ServiceKind.Model || SAFE_METHODS.has(req.method ?? '')
}

/** Validates a caller's request against the active configuration. */
export function parseRequest(
  req: IncomingMessage,
  customer: string,
  options: ParseRequestOptions,
): Result<RoutedRequest, RequestFailure> {
  const { configuration, body, signal, nowMs } = options
  const destination = findDestination(req, body)
  if (destination.isErr()) return err(destination.error)
  const { service, kind, path } = destination.value
  const configured = Object.hasOwn(configuration.services, service)
    ? configuration.services[service]
    : undefined
  if (configured?.kind !== kind) {
    const message = `there is no ${kind} service named ${JSON.stringify(service)}`
    return err(createFailure(FailureCode.UnknownService, message))
  }
  const deadline = parseDeadline(req, nowMs)
  if (deadline.isErr()) return err(deadline.error)
  const requestKind = readHeader(req, REQUEST_KIND_HEADER) ?? ''
  return ok({
    id: randomUUID(),
    customer,
    service,
    serviceKind: kind,
    chat: readHeader(req, CHAT_HEADER) ?? '',
    requestKind,
    rank: findRank(configuration, { service, customer, requestKind }),
    idempotent: isIdempotent(req, kind),
    idempotencyKey: readHeader(req, 'idempotency-key'),
    deadlineAtMs: deadline.value,
    hint: readHeader(req, HINT_HEADER),
    method: req.method ?? 'GET',
    path,
    headers: req.headers,
    body,
    signal,
  })
}
