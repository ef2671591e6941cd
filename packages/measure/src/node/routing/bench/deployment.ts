/** Size and traffic of one deployment, for traces. */
export interface Deployment {
  readonly name: string
  readonly targets: number
  readonly routers: number
  /** Requests in flight on a target on average. */
  readonly meanInFlight: number
  /** Mean duration of a request in milliseconds. */
  readonly durationMs: number
  /** Mean number of requests of a chat. */
  readonly turns: number
  /** Chats that a target's prompt cache holds. */
  readonly cacheChats: number
  /** Customers that surge in a trace with a surge. */
  readonly surging: readonly number[]
  /** Shared briefings that chats start from; 0 for none. */
  readonly briefings: number
}

/** Relative request rates of the ten customers. */
export const CUSTOMER_SHARES = [30, 20, 15, 10, 7, 6, 5, 3, 2, 2]

/** Corrib's briefing model: long briefings, one customer surges. */
export const corrib: Deployment = {
  name: 'corrib',
  targets: 13,
  routers: 9,
  meanInFlight: 20,
  durationMs: 20_000,
  turns: 8,
  cacheChats: 250,
  surging: [3],
  briefings: 40,
}

/** The Asociación's checklist model: three member firms surge together. */
export const asociacion: Deployment = {
  name: 'asociacion',
  targets: 6,
  routers: 9,
  meanInFlight: 20,
  durationMs: 20_000,
  turns: 6,
  cacheChats: 250,
  surging: [1, 3, 4],
  briefings: 0,
}

/** Corrib's chart delivery: three plain targets, short calls without chats. */
export const corribPlain: Deployment = {
  ...corrib,
  name: 'corrib-plain',
  targets: 3,
  meanInFlight: 4,
  durationMs: 200,
  turns: 1,
  briefings: 0,
}

/** The Asociación's records application: four plain targets. */
export const asociacionPlain: Deployment = {
  ...asociacion,
  name: 'asociacion-plain',
  targets: 4,
  meanInFlight: 4,
  durationMs: 200,
  turns: 1,
}
