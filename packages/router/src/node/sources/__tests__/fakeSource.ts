import { err, ok } from 'neverthrow'
import type { KeyedSource, SourceListing, SourcePage } from '../keyedSource.js'
import type { SourceFault } from '../sourceFault.js'

/** A response of a fake source. */
export type SourceResponse =
  SourceListing<string> | SourcePage<string> | SourceFault

/** Returns a source that gives the responses in turn and then never resolves. */
export function createFakeSource(
  responses: SourceResponse[],
): KeyedSource<string> & {
  readonly requests: string[]
} {
  const requests: string[] = []
  function next(): Promise<never> {
    const response = responses.shift()
    if (response === undefined) return new Promise(() => undefined)
    const result = typeof response === 'string' ? err(response) : ok(response)
    return Promise.resolve(result as never)
  }
  return {
    requests,
    list: () => {
      requests.push('list')
      return next()
    },
    read: (from) => {
      requests.push(`read ${from}`)
      return next()
    },
  }
}

/** Returns a listing with one value. */
export const listing = (nextOffset: number): SourceResponse => ({
  values: new Map([['a', '1']]),
  nextOffset,
})
