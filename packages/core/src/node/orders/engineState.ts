import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/)

/** Phases of inference that an engine runs. */
export enum EngineRole {
  Mixed = 'mixed',
  Prefill = 'prefill',
  Decode = 'decode',
}

/** Schema of the desired or observed state of an engine. */
export const engineStateSchema = z.strictObject({
  model: name,
  modelVersion: name.default('1'),
  /** Version by adapter name. */
  adapters: z.record(name, name).default({}),
  role: z.enum(EngineRole).default(EngineRole.Mixed),
})

/** Model, adapters and role of an engine. */
export type EngineState = z.infer<typeof engineStateSchema>

/** Returns whether two engine states are equal. */
export function isSameState(one: EngineState, other: EngineState): boolean {
  const isSame =
    one.model === other.model &&
    one.modelVersion === other.modelVersion &&
    one.role === other.role
  const names = Object.keys(one.adapters)
  return (
    isSame &&
    names.length === Object.keys(other.adapters).length &&
    names.every((adapter) => one.adapters[adapter] === other.adapters[adapter])
  )
}

/**
 * Returns whether a change removes or replaces something that running requests
 * may need: the model, the role or an adapter.
 */
export function isDestructive(from: EngineState, to: EngineState): boolean {
  if (from.model !== to.model || from.modelVersion !== to.modelVersion)
    return true
  if (from.role !== to.role) return true
  return Object.entries(from.adapters).some(
    ([adapter, version]) => to.adapters[adapter] !== version,
  )
}

/** Returns how many sets of weights (model and adapters) a change loads. */
export function countWeightLoads(from: EngineState, to: EngineState): number {
  const replacesModel =
    from.model !== to.model || from.modelVersion !== to.modelVersion
  const added = Object.entries(to.adapters).filter(
    ([adapter, version]) => replacesModel || from.adapters[adapter] !== version,
  )
  return added.length + (replacesModel ? 1 : 0)
}
