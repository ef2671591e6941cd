/** Roles of operators; each includes the permissions of those before it. */
export enum Role {
  /** Can read only. */
  Viewer = 'viewer',
  /** Can change customers, services, targets and rules of the team. */
  Editor = 'editor',
  /** Can also change the team's operators. */
  Owner = 'owner',
}

const ORDER: readonly Role[] = [Role.Viewer, Role.Editor, Role.Owner]

/** Returns whether `role` includes all permissions of `needed`. */
export function includesRole(role: Role, needed: Role): boolean {
  return ORDER.indexOf(role) >= ORDER.indexOf(needed)
}
