import type { BodyFormatter } from '../../output/printResponse.js'
import { messages } from '../../output/messages.js'

/** Prints a new secret alone on stdout and the rest on stderr. */
export function createSecretFormatter(field: 'key' | 'token'): BodyFormatter {
  return (body) => {
    const reply = body as Record<string, unknown>
    messages.info(
      `Version ${String(reply.version)} is in force. This ${field} is shown once; keep it now.`,
    )
    return String(reply[field])
  }
}
