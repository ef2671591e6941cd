import process from 'node:process'
import {
  type Configuration,
  configurationSchema,
  patchConfiguration,
  patchFullConfiguration,
} from '@auburnbay/core'
import type { Figure } from '../figure.js'

const CUSTOMERS = 630
const TARGETS = 10_000
const CHANGES_PER_DAY = 47_000
const DAY_MS = 86_400_000
const US_PER_MS = 1_000
/** Share of a core that a node may spend on control work. */
const MAX_CORE_SHARE = 0.011
const INCREMENTAL_RUNS = 200
const FULL_RUNS = 10

function createLargeConfiguration(): Configuration {
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

/** Returns the mean processor time of a patch over all threads, in milliseconds. */
function timePatches(
  patch: typeof patchConfiguration,
  configuration: Configuration,
  runs: number,
): number {
  let current = configuration
  const start = process.cpuUsage()
  for (let run = 0; run < runs; run += 1) {
    const path = `/targets/engine-${run * 37}/weight`
    const operations = [{ op: 'replace', path, value: 2 + run }]
    current = patch(current, operations).unwrapOr(current)
  }
  const { user, system } = process.cpuUsage(start)
  return (user + system) / US_PER_MS / runs
}

/** Measures the share of a core that applying a day's changes takes. */
export function measurePatchCost(): Figure {
  const configuration = createLargeConfiguration()
  // Warm-up.
  timePatches(patchConfiguration, configuration, INCREMENTAL_RUNS)
  const incrementalMs = timePatches(
    patchConfiguration,
    configuration,
    INCREMENTAL_RUNS,
  )
  const fullMs = timePatches(patchFullConfiguration, configuration, FULL_RUNS)
  const share = (costMs: number): number => (costMs * CHANGES_PER_DAY) / DAY_MS
  return {
    measure: 'state.patch-cost',
    value: share(incrementalMs),
    unit: 'of a core for 47,000 changes a day, 630 customers, 10,000 targets',
    bound: MAX_CORE_SHARE,
    baseline: share(fullMs),
    timing: true,
  }
}
