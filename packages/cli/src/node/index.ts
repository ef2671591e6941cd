export { createAdminClient } from './adminClient.js'
export type { AdminClient } from './adminClient.js'
export { ExitCode } from './exitCode.js'
