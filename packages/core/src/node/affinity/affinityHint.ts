import { createHmac, timingSafeEqual } from 'node:crypto'

/** Length of the truncated HMAC-SHA256. */
const MAC_BYTES = 16
/** Longest hint in characters that is parsed. */
const MAX_HINT_CHARS = 256

/** The chat that a hint is valid for. */
export interface HintOwner {
  readonly customer: string
  readonly service: string
  readonly chat: string
}

function macOf(secret: string, owner: HintOwner, targetId: string): Buffer {
  const { customer, service, chat } = owner
  const text = JSON.stringify([customer, service, chat, targetId])
  const mac = createHmac('sha256', secret).update(text).digest()
  return mac.subarray(0, MAC_BYTES)
}

/** Creates a signed hint to the target that holds the owner's chat. */
export function signHint(
  secret: string,
  owner: HintOwner,
  targetId: string,
): string {
  const mac = macOf(secret, owner, targetId).toString('base64url')
  return `${Buffer.from(targetId).toString('base64url')}.${mac}`
}

/** Returns the target of a hint, or undefined if its MAC doesn't match the owner. */
export function verifyHint(
  secret: string,
  owner: HintOwner,
  hint: string | undefined,
): string | undefined {
  if (hint === undefined || hint.length > MAX_HINT_CHARS) return undefined
  const [encoded, mac, ...rest] = hint.split('.')
  if (encoded === undefined || mac === undefined || rest.length > 0)
    return undefined
  const targetId = Buffer.from(encoded, 'base64url').toString('utf8')
  const given = Buffer.from(mac, 'base64url')
  const expected = macOf(secret, owner, targetId)
  if (given.length !== expected.length) return undefined
  return timingSafeEqual(given, expected) ? targetId : undefined
}
