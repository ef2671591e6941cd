import { validateHeaderName, validateHeaderValue } from 'node:http'

/**
 * Returns why headers cannot be forwarded; undefined if they can. Node's parser
 * accepts headers that its writer refuses, such as a name with a blank.
 * @param rawHeaders Alternating names and values.
 */
export function findHeaderFault(
  rawHeaders: readonly string[],
): string | undefined {
  try {
    for (let i = 0; i < rawHeaders.length; i += 2) {
      const [name = '', value = ''] = [rawHeaders[i], rawHeaders[i + 1]]
      validateHeaderName(name)
      validateHeaderValue(name, value)
    }
  } catch (error) {
    return error instanceof Error ? error.message : String(error)
  }
  return undefined
}
