/** Hop-by-hop headers, which apply to one connection and must not be forwarded. */
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

/** Returns the header names that a `Connection` header lists, in lower case. */
export function connectionOptions(value: string): string[] {
  return value
    .toLowerCase()
    .split(',')
    .map((option) => option.trim())
}
