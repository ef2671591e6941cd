import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { patchInPlace } from './patchInPlace.js'
import {
  type Configuration,
  configurationSchema,
} from './configurationSchema.js'
import type { JsonOperation } from './jsonOperation.js'

/** Describes the faults of a document, each with its path. */
export function describeIssues(
  issues: readonly z.core.$ZodIssue[],
  prefix: readonly PropertyKey[] = [],
): string {
  return issues
    .map(
      ({ path, message }) => `/${[...prefix, ...path].join('/')}: ${message}`,
    )
    .join('; ')
}

/** Patches a copy of the whole document and validates all of it. */
export function patchFullConfiguration(
  configuration: Configuration,
  operations: readonly JsonOperation[],
): Result<Configuration, string> {
  const draft: unknown = structuredClone(configuration)
  const failed = patchInPlace(draft, operations)
  if (failed !== undefined) return err(failed)
  const parsed = configurationSchema.safeParse(draft)
  return parsed.success
    ? ok(parsed.data)
    : err(describeIssues(parsed.error.issues))
}
