import type { BodyFormatter } from '../../output/printResponse.js'
import { messages } from '../../output/messages.js'

/**
 * Creates a formatter that prints only the new secret to stdout and a message
 * to stderr.
 */
export function createSecretFormatter(field: 'key' | 'token'): BodyFormatter {
  return (body) => {
    const response = body as Record<string, unknown>
    messages.info(
      `Version ${String(response.version)} is in force. This ${field} is shown once; store it now.`,
    )
    return String(response[field])
  }
}
