import { createConsola } from 'consola'

/** Messages for people; they go to stderr, so that stdout holds results alone. */
export const messages = createConsola({
  fancy: false,
  stdout: process.stderr,
  stderr: process.stderr,
  formatOptions: { date: false },
})
