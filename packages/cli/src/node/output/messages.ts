import { createConsola } from 'consola'

/**
 * Logger of messages for people; writes to stderr, as stdout holds only
 * results.
 */
export const messages = createConsola({
  fancy: false,
  stdout: process.stderr,
  stderr: process.stderr,
  formatOptions: { date: false },
})
