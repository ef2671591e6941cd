import type { Configuration } from '../configuration/configurationSchema.js'
import { Role } from './role.js'

/** Operator who requests a change. */
export interface Actor {
  /** Operator id, or `admin` for the bootstrap owner. */
  readonly id: string
  readonly role: Role
  /** Absent for the bootstrap owner, who belongs to no team. */
  readonly team?: string
}

/** Bootstrap owner, whose secret is in the routers' settings. */
export const BOOTSTRAP_ACTOR: Actor = { id: 'admin', role: Role.Owner }

/**
 * Returns the operator with the given id, or undefined if there is none.
 * Without an id, returns the bootstrap owner.
 */
export function findActor(
  cfg: Configuration,
  operatorId: string | undefined,
): Actor | undefined {
  if (operatorId === undefined) return BOOTSTRAP_ACTOR
  if (!Object.hasOwn(cfg.operators, operatorId)) return undefined
  const operator = cfg.operators[operatorId]
  if (!operator) return undefined
  return { id: operatorId, role: operator.role, team: operator.team }
}
