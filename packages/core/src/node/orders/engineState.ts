import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/)

/** What an engine does with the requests it gets. */
export enum EngineRole {
  Mixed = 'mixed',
  Prefill = 'prefill',
  Decode = 'decode',
}

/** Checks the state that an engine is to have, or has. */
export const engineStateSchema = z.strictObject({
  model: name,
  modelVersion: name.default('1'),
  /** Versions by adapter. */
  adapters: z.record(name, name).default({}),
  role: z.enum(EngineRole).default(EngineRole.Mixed),
})

/** The model, the adapters and the role of an engine. */
export type EngineState = z.infer<typeof engineStateSchema>

/** Returns whether two states are the same. */
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

/** Returns whether a change takes something away that requests may need. */
export function isDestructive(from: EngineState, to: EngineState): boolean {
  if (from.model !== to.model || from.modelVersion !== to.modelVersion)
    return true
  if (from.role !== to.role) return true
  return Object.entries(from.adapters).some(
    ([adapter, version]) => to.adapters[adapter] !== version,
  )
}

/** Returns how many sets of weights a change loads. */
export function weightLoads(from: EngineState, to: EngineState): number {
  const isOther =
    from.model !== to.model || from.modelVersion !== to.modelVersion
  const added = Object.entries(to.adapters).filter(
    ([adapter, version]) => isOther || from.adapters[adapter] !== version,
  )
  return added.length + (isOther ? 1 : 0)
}
