/** What an operator may do, each role including the ones before it. */
export enum Role {
  /** Reads. */
  Viewer = 'viewer',
  /** Changes customers, services, targets and rules of the team. */
  Editor = 'editor',
  /** Changes the team's operators as well. */
  Owner = 'owner',
}

const ORDER: readonly Role[] = [Role.Viewer, Role.Editor, Role.Owner]

/** Returns whether `role` includes everything that `needed` may do. */
export function includesRole(role: Role, needed: Role): boolean {
  return ORDER.indexOf(role) >= ORDER.indexOf(needed)
}
