import { err, ok, type Result } from 'neverthrow'
import type {
  SourceEntry,
  SourceListing,
  SourcePage,
} from '../../sources/keyedSource.js'
import { SourceFault } from '../../sources/sourceFault.js'
import type { Target } from '../../targets/target.js'

/** Options for {@link createTestTargetLog}. */
export interface TestTargetLogOptions {
  /** Entries in a page of the log. */
  readonly pageEntries?: number
  /** Entries that the log retains, beside the newest of each key. */
  readonly retainedEntries?: number
}

function testTarget(id: string, draining: boolean): Target {
  return {
    id,
    service: 's',
    host: '10.0.0.1',
    port: 1,
    slots: 4,
    softwareVersion: 'v1',
    draining,
  }
}

/** Creates the log of a simulated fleet's targets. */
export function createTestTargetLog(options: TestTargetLogOptions) {
  const newest = new Map<string, Target>()
  const entries: SourceEntry<Target>[] = []
  let calls = 0
  return {
    get calls() {
      return calls
    },
    write(id: string, state: 'ready' | 'draining' | 'gone') {
      if (state === 'gone') {
        newest.delete(id)
        entries.push({ key: id })
        return
      }
      const value = testTarget(id, state === 'draining')
      newest.set(id, value)
      entries.push({ key: id, value })
    },
    rewrite(id: string) {
      const value = newest.get(id)
      if (value) entries.push({ key: id, value })
    },
    list(): Result<SourceListing<Target>, SourceFault> {
      calls += 1
      return ok({ values: new Map(newest), nextOffset: entries.length })
    },
    read(from: number): Result<SourcePage<Target>, SourceFault> {
      calls += 1
      const firstOffset = entries.length - (options.retainedEntries ?? Infinity)
      if (from < firstOffset) return err(SourceFault.Trimmed)
      const page = entries.slice(from, from + (options.pageEntries ?? Infinity))
      return ok({
        entries: page,
        nextOffset: from + page.length,
        endOffset: entries.length,
      })
    },
  }
}
