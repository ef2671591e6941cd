import {
  createCallerKey,
  joinPointer,
  type PatchRecord,
  Role,
} from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminParts } from '../adminParts.js'
import { refuse, reply } from '../adminReplies.js'
import type { AdminCall, AdminReply, AdminRoute } from '../adminRoute.js'
import type { ConfigurationWriter } from '../configurationWriter.js'
import { parseBody } from '../parseBody.js'

/** Seconds that a rotated key goes on working unless told otherwise. */
const DEFAULT_OVERLAP_S = 86_400
const MS_PER_S = 1_000

const createBody = z.strictObject({
  keyId: z.string(),
  expiresAtMs: z.int().positive().optional(),
})
const rotateBody = z.strictObject({
  overlapS: z.number().min(0).default(DEFAULT_OVERLAP_S),
})

function nextKeyId(keyId: string, taken: object): string {
  const base = keyId.replace(/\.\d+$/, '')
  for (let number = 2; ; number += 1) {
    const candidate = `${base}.${number}`
    if (!Object.hasOwn(taken, candidate)) return candidate
  }
}

/** Paths that create, rotate and revoke callers' keys. */
export function createKeyRoutes(
  { tailer }: AdminParts,
  writer: ConfigurationWriter,
): AdminRoute[] {
  function keysOf(customer: string) {
    const { customers } = tailer.state.configuration
    return Object.hasOwn(customers, customer)
      ? customers[customer]?.keys
      : undefined
  }

  function missing(customer: string, keyId?: string): AdminReply {
    const what = keyId === undefined ? '' : ` or it has no key ${keyId}`
    const message = `there is no customer ${customer}${what}`
    return refuse(AdminErrorCode.NotFound, message)
  }

  async function put(
    call: AdminCall,
    keyId: string,
    expiresAtMs: number | undefined,
    others: PatchRecord['operations'],
  ): Promise<AdminReply> {
    const { customer = '' } = call.params
    const key = createCallerKey(customer, keyId)
    const value = { ...key.stored, expiresAtMs }
    const path = joinPointer('customers', customer, 'keys', keyId)
    const operations = [{ op: 'add' as const, path, value }, ...others]
    const result = await writer.update(call.actor, () => operations)
    if (result.isErr()) return result.error
    const { version } = result.value
    return reply({ customer, keyId, key: key.text, version })
  }

  return [
    {
      method: 'POST',
      path: '/customers/:customer/keys',
      role: Role.Editor,
      handle: async (call) => {
        const { customer = '' } = call.params
        const body = parseBody(createBody, call.body)
        if (body.isErr()) return body.error
        const keys = keysOf(customer)
        if (!keys) return missing(customer)
        const { keyId, expiresAtMs } = body.value
        if (!Object.hasOwn(keys, keyId))
          return put(call, keyId, expiresAtMs, [])
        const message = `customer ${customer} has a key ${keyId}; rotate it or choose another id`
        return refuse(AdminErrorCode.Conflict, message)
      },
    },
    {
      method: 'POST',
      path: '/customers/:customer/keys/:keyId/rotate',
      role: Role.Editor,
      handle: async (call) => {
        const { customer = '', keyId = '' } = call.params
        const body = parseBody(rotateBody, call.body)
        if (body.isErr()) return body.error
        const keys = keysOf(customer)
        if (!keys || !Object.hasOwn(keys, keyId))
          return missing(customer, keyId)
        const endMs = Date.now() + body.value.overlapS * MS_PER_S
        const path = joinPointer(
          'customers',
          customer,
          'keys',
          keyId,
          'expiresAtMs',
        )
        const expiry = { op: 'add' as const, path, value: Math.ceil(endMs) }
        return put(call, nextKeyId(keyId, keys), undefined, [expiry])
      },
    },
    {
      method: 'DELETE',
      path: '/customers/:customer/keys/:keyId',
      role: Role.Editor,
      handle: async ({ actor, params }) => {
        const { customer = '', keyId = '' } = params
        const keys = keysOf(customer)
        if (!keys || !Object.hasOwn(keys, keyId))
          return missing(customer, keyId)
        const path = joinPointer('customers', customer, 'keys', keyId)
        const result = await writer.update(actor, () => [
          { op: 'remove', path },
        ])
        return result.isOk() ? reply(result.value) : result.error
      },
    },
  ]
}
