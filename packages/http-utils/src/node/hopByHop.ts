/** Header fields that concern one connection and are never passed on. */
export const HOP_BY_HOP: readonly string[] = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]

/** Returns the fields that a `Connection` header declares hop-by-hop as well. */
export function connectionOptions(value: string): string[] {
  return value
    .toLowerCase()
    .split(',')
    .map((option) => option.trim())
}
