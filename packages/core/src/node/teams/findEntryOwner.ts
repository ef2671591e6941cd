import type { Configuration } from '../configuration/configurationSchema.js'
import { Section, type ChangedEntry } from './findChangedEntries.js'

/** Whose an entry is. */
export enum OwnerKind {
  /** No such entry. */
  Absent = 'absent',
  Team = 'team',
  /** Nobody but the bootstrap owner's. */
  Fleet = 'fleet',
}

/** The owner of an entry. */
export interface EntryOwner {
  readonly kind: OwnerKind
  readonly team?: string
}

const ABSENT: EntryOwner = { kind: OwnerKind.Absent }
const FLEET: EntryOwner = { kind: OwnerKind.Fleet }

function get<T>(entries: Record<string, T>, id: string): T | undefined {
  return Object.hasOwn(entries, id) ? entries[id] : undefined
}

function ownedBy(team: string | undefined): EntryOwner {
  return team === undefined ? FLEET : { kind: OwnerKind.Team, team }
}

function ownerOfRule(cfg: Configuration, id: string): EntryOwner {
  const rule = get(cfg.rules, id)
  if (!rule) return ABSENT
  // A rule without a service would rank requests on other teams' targets.
  if (rule.service === undefined) return FLEET
  const team = get(cfg.services, rule.service)?.team
  if (rule.customer === undefined) return ownedBy(team)
  const customerTeam = get(cfg.customers, rule.customer)?.team
  return customerTeam === team ? ownedBy(team) : FLEET
}

/** Returns whose an entry is: a target's owner is that of its service. */
export function findEntryOwner(
  cfg: Configuration,
  entry: ChangedEntry,
): EntryOwner {
  const { section, id } = entry
  if (get(cfg[section] as Record<string, unknown>, id) === undefined)
    return ABSENT
  switch (section) {
    case Section.Customers:
      return ownedBy(get(cfg.customers, id)?.team)
    case Section.Services:
      return ownedBy(get(cfg.services, id)?.team)
    case Section.Operators:
      return ownedBy(get(cfg.operators, id)?.team)
    case Section.Targets:
      return ownedBy(
        get(cfg.services, get(cfg.targets, id)?.service ?? '')?.team,
      )
    case Section.Rules:
      return ownerOfRule(cfg, id)
    case Section.Teams:
      return FLEET
  }
}
