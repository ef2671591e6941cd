import type { Configuration } from '../configuration/configurationSchema.js'
import type { Actor } from './actor.js'
import { includesRole, Role } from './role.js'
import { OwnerKind, findEntryOwner } from './findEntryOwner.js'
import {
  Section,
  type ChangedEntry,
  findChangedEntries,
  findChangedFields,
} from './findChangedEntries.js'

function requiredRole(section: Section): Role {
  return section === Section.Operators ? Role.Owner : Role.Editor
}

function checkEntry(
  before: Configuration,
  after: Configuration,
  actor: Actor,
  entry: ChangedEntry,
): string | undefined {
  const path = `/${entry.section}/${entry.id}`
  const needed = requiredRole(entry.section)
  if (!includesRole(actor.role, needed))
    return `${path}: operator ${actor.id} is ${actor.role}; this change needs the role ${needed}`
  for (const cfg of [before, after]) {
    const owner = findEntryOwner(cfg, entry)
    if (owner.kind === OwnerKind.Absent) continue
    if (owner.kind === OwnerKind.Team && owner.team === actor.team) continue
    const ownerName =
      owner.kind === OwnerKind.Team ? `team ${owner.team ?? ''}` : 'the fleet'
    return `${path}: belongs to ${ownerName}; operator ${actor.id} changes entries of team ${actor.team ?? ''} alone`
  }
  return undefined
}

/** Returns why the actor is not allowed to make a change, or undefined if it is. */
export function authorizeChange(
  before: Configuration,
  after: Configuration,
  actor: Actor,
): string | undefined {
  if (actor.team === undefined) return undefined
  for (const field of findChangedFields(before, after))
    return `/${field}: belongs to the fleet; ask the holder of the administration secret`
  for (const entry of findChangedEntries(before, after)) {
    const denied = checkEntry(before, after, actor, entry)
    if (denied !== undefined) return denied
  }
  return undefined
}
