import type { Actor, Role } from '@auburnbay/core'

/** An authenticated request to the administration API. */
export interface AdminCall {
  readonly actor: Actor
  /** Values of the path's `:name` parameters, decoded. */
  readonly params: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  /** The parsed JSON body; undefined when the request has none. */
  readonly body: unknown
}

/** Status and JSON body of a response. */
export interface AdminResponse {
  readonly status: number
  readonly body: unknown
}

/** A method and path of the administration API with their handler. */
export interface AdminRoute {
  readonly method: 'DELETE' | 'GET' | 'POST' | 'PUT'
  /** Path with `:name` parameters. */
  readonly path: string
  /** Minimum role of the operator. */
  readonly role: Role
  handle(call: AdminCall): AdminResponse | Promise<AdminResponse>
}
