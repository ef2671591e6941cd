import { REJOIN_WINDOW_MS } from '../constants.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import { RecordKind } from '../peers/sharedRecord.js'
import type { LogRestores } from '../sources/createLogRestores.js'

/** Options for {@link createEvacuations}. */
export interface EvacuationsOptions {
  readonly records: SharedRecords
  readonly logRestores: LogRestores
  /** Called with a data centre that is evacuated from now on, or no longer. */
  readonly onChange: (dataCentre: string, isEvacuated: boolean) => void
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Data centres whose targets get no requests, by order of the operator; every router of the fleet learns of them. */
export interface Evacuations {
  isEvacuated(dataCentre: string | undefined): boolean
  /** Returns the data centres that are evacuated now. */
  all(): string[]
  /** Records an entry of the operator's log; `offset` follows it. */
  observe(dataCentre: string, isEvacuated: boolean, offset: number): void
  /** Records that the operator's log evacuates exactly these data centres as of `offset`. */
  observeListing(dataCentres: readonly string[], offset: number): void
  /** Publishes evacuations in force again before the fleet forgets them; called by the router that polls the log. */
  refresh(): void
}

/** What the log says of a data centre as of an offset; offsets are valid until the log is restored. */
interface LoggedState {
  readonly restores: number
  readonly offset: number
  readonly isEvacuated: boolean
}

/** Milliseconds after which an evacuation in force is published again; well within the lifetime of a record. */
const REFRESH_MS = 60_000
const EVACUATED = 'evacuated'
const RETURNED = 'returned'

function isNewer(a: LoggedState, b: LoggedState | undefined): boolean {
  if (!b) return true
  if (a.restores !== b.restores) return a.restores > b.restores
  return a.offset > b.offset
}

function encodeState({ restores, offset, isEvacuated }: LoggedState): string[] {
  return [String(restores), String(offset), isEvacuated ? EVACUATED : RETURNED]
}

/** Decodes a state; undefined if a later release wrote something else. */
function decodeState(value: readonly string[]): LoggedState | undefined {
  const [restores, offset, state] = value
  const decoded = {
    restores: Number(restores),
    offset: Number(offset),
    isEvacuated: state === EVACUATED,
  }
  const isKnown = decoded.isEvacuated || state === RETURNED
  const isValid =
    Number.isFinite(decoded.restores) && Number.isFinite(decoded.offset)
  return isKnown && isValid ? decoded : undefined
}

/**
 * Creates an empty set. For each data centre the state at the highest offset of the
 * log holds, so that an older state that a peer passes on late has no effect.
 */
export function createEvacuations(options: EvacuationsOptions): Evacuations {
  const { records, logRestores, log, now } = options
  const kind = RecordKind.Evacuation
  const states = new Map<string, LoggedState>()
  const publishedAtMs = new Map<string, number>()
  let restoredAtMs = -Infinity

  logRestores.onRestore(() => {
    restoredAtMs = now()
  })

  records.onChange(kind, () => {
    for (const { key, value, origin } of records.list(kind)) {
      const state = decodeState(value)
      const known = states.get(key)
      if (!state || !isNewer(state, known)) continue
      states.set(key, state)
      if (state.isEvacuated === (known?.isEvacuated ?? false)) continue
      log.write(
        state.isEvacuated
          ? LogEvent.DataCentreEvacuated
          : LogEvent.DataCentreReturned,
        { dataCentre: key, origin },
      )
      options.onChange(key, state.isEvacuated)
    }
  })

  function publish(dataCentre: string, state: LoggedState): void {
    publishedAtMs.set(dataCentre, now())
    records.publish(kind, dataCentre, encodeState(state), now())
  }

  function evacuated(): string[] {
    const dataCentres: string[] = []
    for (const [dataCentre, { isEvacuated }] of states)
      if (isEvacuated) dataCentres.push(dataCentre)
    return dataCentres
  }

  const stateAt = (offset: number, isEvacuated: boolean): LoggedState => ({
    restores: logRestores.count ?? 0,
    offset,
    isEvacuated,
  })

  function publishIfNewer(dataCentre: string, state: LoggedState): void {
    if (isNewer(state, states.get(dataCentre))) publish(dataCentre, state)
  }

  /** Each router lists the log as it starts, so a listing is passed on only if it shows a change. */
  function observeListed(dataCentre: string, state: LoggedState): void {
    const known = states.get(dataCentre)
    if (known?.isEvacuated !== true) publishIfNewer(dataCentre, state)
    else if (isNewer(state, known)) states.set(dataCentre, state)
  }

  /** Ends evacuations that a listing lacks; after a restore the operator may still write them again. */
  function endMissing(missing: readonly string[], state: LoggedState): void {
    const waitMs = restoredAtMs + REJOIN_WINDOW_MS - now()
    const end = (): void => {
      for (const dataCentre of missing) publishIfNewer(dataCentre, state)
    }
    if (waitMs > 0) setTimeout(end, waitMs).unref()
    else end()
  }

  return {
    isEvacuated: (dataCentre) =>
      dataCentre !== undefined &&
      (states.get(dataCentre)?.isEvacuated ?? false),
    all: evacuated,
    observe(dataCentre, isEvacuated, offset) {
      publishIfNewer(dataCentre, stateAt(offset, isEvacuated))
    },
    observeListing(dataCentres, offset) {
      for (const dataCentre of dataCentres)
        observeListed(dataCentre, stateAt(offset, true))
      const missing = evacuated().filter(
        (dataCentre) => !dataCentres.includes(dataCentre),
      )
      if (missing.length > 0) endMissing(missing, stateAt(offset, false))
    },
    refresh() {
      for (const [dataCentre, state] of states) {
        const ageMs = now() - (publishedAtMs.get(dataCentre) ?? -Infinity)
        if (state.isEvacuated && ageMs >= REFRESH_MS) publish(dataCentre, state)
      }
    },
  }
}
