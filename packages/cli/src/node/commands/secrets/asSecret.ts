import type { Formatter } from '../../output/printReply.js'
import { messages } from '../../output/messages.js'

/** Prints a new secret alone on stdout and the rest on stderr. */
export function asSecret(field: 'key' | 'token'): Formatter {
  return (body) => {
    const reply = body as Record<string, unknown>
    messages.info(
      `Version ${String(reply.version)} is in force. This ${field} is shown once; keep it now.`,
    )
    return String(reply[field])
  }
}
