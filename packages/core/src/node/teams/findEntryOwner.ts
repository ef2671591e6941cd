import type { Configuration } from '../configuration/configurationSchema.js'
import { Section, type ChangedEntry } from './findChangedEntries.js'

/** Kind of owner of a configuration entry. */
export enum OwnerKind {
  /** The entry does not exist. */
  Absent = 'absent',
  Team = 'team',
  /** Only the bootstrap owner can change the entry. */
  Fleet = 'fleet',
}

/** Owner of a configuration entry. */
export interface EntryOwner {
  readonly kind: OwnerKind
  readonly team?: string
}

const ABSENT: EntryOwner = { kind: OwnerKind.Absent }
const FLEET: EntryOwner = { kind: OwnerKind.Fleet }

function getOwn<T>(entries: Record<string, T>, id: string): T | undefined {
  return Object.hasOwn(entries, id) ? entries[id] : undefined
}

function toOwner(team: string | undefined): EntryOwner {
  return team === undefined ? FLEET : { kind: OwnerKind.Team, team }
}

function findRuleOwner(cfg: Configuration, id: string): EntryOwner {
  const rule = getOwn(cfg.rules, id)
  if (!rule) return ABSENT
  // A rule without a service also applies to services of other teams.
  if (rule.service === undefined) return FLEET
  const team = getOwn(cfg.services, rule.service)?.team
  if (rule.customer === undefined) return toOwner(team)
  const customerTeam = getOwn(cfg.customers, rule.customer)?.team
  return customerTeam === team ? toOwner(team) : FLEET
}

/** Returns the owner of an entry; a target has the owner of its service. */
export function findEntryOwner(
  cfg: Configuration,
  entry: ChangedEntry,
): EntryOwner {
  const { section, id } = entry
  if (getOwn(cfg[section] as Record<string, unknown>, id) === undefined)
    return ABSENT
  switch (section) {
    case Section.Customers:
      return toOwner(getOwn(cfg.customers, id)?.team)
    case Section.Services:
      return toOwner(getOwn(cfg.services, id)?.team)
    case Section.Operators:
      return toOwner(getOwn(cfg.operators, id)?.team)
    case Section.Targets:
      return toOwner(
        getOwn(cfg.services, getOwn(cfg.targets, id)?.service ?? '')?.team,
      )
    case Section.Rules:
      return findRuleOwner(cfg, id)
    case Section.Teams:
      return FLEET
  }
}
