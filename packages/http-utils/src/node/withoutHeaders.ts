import { connectionOptions } from './hopByHop.js'

/** Returns the header names that the `Connection` headers of a message list. */
function connectionHeaderNames(rawHeaders: readonly string[]): Set<string> {
  const options = new Set<string>()
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i]?.toLowerCase() !== 'connection') continue
    for (const option of connectionOptions(rawHeaders[i + 1] ?? ''))
      options.add(option)
  }
  return options
}

/** Returns alternating header names and values without the names in `dropped` and those that a `Connection` header lists. */
export function withoutHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const options = connectionHeaderNames(rawHeaders)
  const kept: string[] = []
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const [name = '', value = ''] = [rawHeaders[i], rawHeaders[i + 1]]
    const lower = name.toLowerCase()
    if (!dropped.has(lower) && !options.has(lower)) kept.push(name, value)
  }
  return kept
}
