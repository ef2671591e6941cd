import {
  createCallerKey,
  joinPointer,
  type PatchRecord,
  Role,
} from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminServerOptions } from '../adminServerOptions.js'
import { createErrorResponse, createResponse } from '../adminResponses.js'
import type { AdminCall, AdminResponse, AdminRoute } from '../adminRoute.js'
import type { ConfigurationWriter } from '../createConfigurationWriter.js'
import { parseBody } from '../parseBody.js'

/** Seconds that a rotated key stays valid by default. */
const DEFAULT_OVERLAP_S = 86_400
const MS_PER_S = 1_000

const createBodySchema = z.strictObject({
  keyId: z.string(),
  expiresAtMs: z.int().positive().optional(),
})
const rotateBodySchema = z.strictObject({
  overlapS: z.number().min(0).default(DEFAULT_OVERLAP_S),
})

function nextKeyId(keyId: string, existing: object): string {
  const base = keyId.replace(/\.\d+$/, '')
  for (let number = 2; ; number += 1) {
    const candidate = `${base}.${number}`
    if (!Object.hasOwn(existing, candidate)) return candidate
  }
}

/** Routes that create, rotate and revoke callers' keys. */
export function createKeyRoutes(
  { tailer }: AdminServerOptions,
  writer: ConfigurationWriter,
): AdminRoute[] {
  function findKeys(customer: string) {
    const { customers } = tailer.state.configuration
    return Object.hasOwn(customers, customer)
      ? customers[customer]?.keys
      : undefined
  }

  function notFound(customer: string, keyId?: string): AdminResponse {
    const keyClause = keyId === undefined ? '' : ` or it has no key ${keyId}`
    const message = `there is no customer ${customer}${keyClause}`
    return createErrorResponse(AdminErrorCode.NotFound, message)
  }

  async function addKey(
    call: AdminCall,
    keyId: string,
    expiresAtMs: number | undefined,
    otherOperations: PatchRecord['operations'],
  ): Promise<AdminResponse> {
    const { customer = '' } = call.params
    const key = createCallerKey(customer, keyId)
    const value = { ...key.stored, expiresAtMs }
    const path = joinPointer('customers', customer, 'keys', keyId)
    const operations = [{ op: 'add' as const, path, value }, ...otherOperations]
    const result = await writer.update(call.actor, () => operations)
    if (result.isErr()) return result.error
    const { version } = result.value
    return createResponse({ customer, keyId, key: key.text, version })
  }

  return [
    {
      method: 'POST',
      path: '/customers/:customer/keys',
      role: Role.Editor,
      handle: async (call) => {
        const { customer = '' } = call.params
        const body = parseBody(createBodySchema, call.body)
        if (body.isErr()) return body.error
        const keys = findKeys(customer)
        if (!keys) return notFound(customer)
        const { keyId, expiresAtMs } = body.value
        if (!Object.hasOwn(keys, keyId))
          return addKey(call, keyId, expiresAtMs, [])
        const message = `customer ${customer} has a key ${keyId}; rotate it or choose another id`
        return createErrorResponse(AdminErrorCode.Conflict, message)
      },
    },
    {
      method: 'POST',
      path: '/customers/:customer/keys/:keyId/rotate',
      role: Role.Editor,
      handle: async (call) => {
        const { customer = '', keyId = '' } = call.params
        const body = parseBody(rotateBodySchema, call.body)
        if (body.isErr()) return body.error
        const keys = findKeys(customer)
        if (!keys || !Object.hasOwn(keys, keyId))
          return notFound(customer, keyId)
        const expiresAtMs = Date.now() + body.value.overlapS * MS_PER_S
        const path = joinPointer(
          'customers',
          customer,
          'keys',
          keyId,
          'expiresAtMs',
        )
        const expiry = {
          op: 'add' as const,
          path,
          value: Math.ceil(expiresAtMs),
        }
        return addKey(call, nextKeyId(keyId, keys), undefined, [expiry])
      },
    },
    {
      method: 'DELETE',
      path: '/customers/:customer/keys/:keyId',
      role: Role.Editor,
      handle: async ({ actor, params }) => {
        const { customer = '', keyId = '' } = params
        const keys = findKeys(customer)
        if (!keys || !Object.hasOwn(keys, keyId))
          return notFound(customer, keyId)
        const path = joinPointer('customers', customer, 'keys', keyId)
        const result = await writer.update(actor, () => [
          { op: 'remove', path },
        ])
        return result.isOk() ? createResponse(result.value) : result.error
      },
    },
  ]
}
