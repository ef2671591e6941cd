export { createAdminClient } from './adminClient.js'
export type { AdminClient, AdminRequest } from './adminClient.js'
export { createApp } from './createApp.js'
export { ExitCode } from './exitCode.js'
