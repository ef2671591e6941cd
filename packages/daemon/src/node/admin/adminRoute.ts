import type { Actor, Role } from '@auburnbay/core'

/** One authenticated call of the administration API. */
export interface AdminCall {
  readonly actor: Actor
  /** Values of the path's `:name` parts. */
  readonly params: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  /** The JSON body; undefined without one. */
  readonly body: unknown
}

/** The answer to a call. */
export interface AdminReply {
  readonly status: number
  readonly body: unknown
}

/** One path of the administration API. */
export interface AdminRoute {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT'
  /** Path with `:name` for parts that vary. */
  readonly path: string
  /** The least role that may call it. */
  readonly role: Role
  handle(call: AdminCall): AdminReply | Promise<AdminReply>
}
