import type { RouterConfiguration } from './routerConfiguration.js'

/** Whether the targets of a data centre are to get no requests. */
export interface Evacuation {
  readonly dataCentre: string
  readonly isEvacuated: boolean
}

/** What the operator writes to the log: a configuration or an evacuation. */
export type OperatorEntry =
  | { readonly configuration: RouterConfiguration }
  | { readonly evacuation: Evacuation }
