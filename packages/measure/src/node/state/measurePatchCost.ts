import { performance } from 'node:perf_hooks'
import {
  type Configuration,
  configurationSchema,
  patchConfiguration,
  patchFullConfiguration,
} from '@auburnbay/core'
import type { Figure } from '../figure.js'

const CUSTOMERS = 630
const TARGETS = 10_000
const CHANGES_A_DAY = 47_000
const DAY_MS = 86_400_000
/** Share of a core that all control work of a node may take. */
const CORE_SHARE_BOUND = 0.011
const TOUCHED_RUNS = 200
const WHOLE_RUNS = 10

function createLarge(): Configuration {
  const customers: Record<string, unknown> = {}
  for (let index = 0; index < CUSTOMERS; index += 1)
    customers[`customer-${index}`] = { weight: 1 + (index % 5) }
  const targets: Record<string, unknown> = {}
  for (let index = 0; index < TARGETS; index += 1)
    targets[`engine-${index}`] = {
      service: `model-${index % 7}`,
      address: `10.0.${index >> 8}.${index & 255}:8000`,
      dataCentre: `dc-${index % 11}`,
    }
  return configurationSchema.parse({ customers, targets })
}

function timePatches(
  patch: typeof patchConfiguration,
  configuration: Configuration,
  runs: number,
): number {
  let current = configuration
  const start = performance.now()
  for (let run = 0; run < runs; run += 1) {
    const path = `/targets/engine-${run * 37}/weight`
    const operations = [{ op: 'replace', path, value: 2 + run }]
    current = patch(current, operations).unwrapOr(current)
  }
  return (performance.now() - start) / runs
}

/** Share of a core that applying the changes of a day takes. */
export function measurePatchCost(): Figure {
  const configuration = createLarge()
  timePatches(patchConfiguration, configuration, TOUCHED_RUNS)
  const touchedMs = timePatches(patchConfiguration, configuration, TOUCHED_RUNS)
  const wholeMs = timePatches(patchFullConfiguration, configuration, WHOLE_RUNS)
  const share = (costMs: number): number => (costMs * CHANGES_A_DAY) / DAY_MS
  return {
    measure: 'state.patch-cost',
    value: share(touchedMs),
    unit: 'of a core for 47,000 changes a day, 630 customers, 10,000 targets',
    bound: CORE_SHARE_BOUND,
    baseline: share(wholeMs),
    timing: true,
  }
}
