import type { Configuration } from '../configuration/configurationSchema.js'
import { findActor } from './actor.js'
import { authorizeChange } from './authorizeChange.js'
import { checkTeams } from './checkTeams.js'

/**
 * Returns why a change may not come into force. Depends on the log's records
 * alone, so every router decides the same; expiry of tokens is not looked at.
 */
export function checkChange(
  before: Configuration,
  after: Configuration,
  operatorId: string | undefined,
): string | undefined {
  const actor = findActor(before, operatorId)
  if (!actor) return `operator ${operatorId ?? ''} is not in the configuration`
  return authorizeChange(before, after, actor) ?? checkTeams(after)
}
