import type { Configuration } from '../configuration/configurationSchema.js'
import { Role } from './role.js'

/** Who asks for a change. */
export interface Actor {
  /** Id of the operator, or `admin` for the bootstrap owner. */
  readonly id: string
  readonly role: Role
  /** Absent for the bootstrap owner, who belongs to no team. */
  readonly team?: string
}

/** The operator whose token stands in the routers' settings. */
export const BOOTSTRAP_ACTOR: Actor = { id: 'admin', role: Role.Owner }

/** Returns the operator of a patch record; a record without one is the bootstrap owner's. */
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
