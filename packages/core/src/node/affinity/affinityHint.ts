import { createHmac, timingSafeEqual } from 'node:crypto'

const MAC_BYTES = 16
const MAX_HINT_CHARS = 256

/** What a hint is bound to. */
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

/** Signs a hint that names the target which holds the owner's chat. */
export function signHint(
  secret: string,
  owner: HintOwner,
  targetId: string,
): string {
  const mac = macOf(secret, owner, targetId).toString('base64url')
  return `${Buffer.from(targetId).toString('base64url')}.${mac}`
}

/** Returns the target a hint names, if the hint is genuine and the owner's own. */
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
