import type { Configuration } from '../configuration/configurationSchema.js'
import { findActor } from './actor.js'
import { authorizeChange } from './authorizeChange.js'
import { checkTeams } from './checkTeams.js'

/**
 * Returns why a change is rejected, or undefined if it is valid. The result
 * depends only on records of the log, so that every router decides the same;
 * token expiry is therefore not checked here.
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
