import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { patchInPlace } from './patchInPlace.js'
import {
  type Configuration,
  configurationSchema,
} from './configurationSchema.js'
import type { JsonOperation } from './jsonOperation.js'

/** Formats validation issues, each with its JSON Pointer. */
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

/** Applies a patch to a copy of the whole document and validates all of it. */
export function patchFullConfiguration(
  configuration: Configuration,
  operations: readonly JsonOperation[],
): Result<Configuration, string> {
  const draft: unknown = structuredClone(configuration)
  const failure = patchInPlace(draft, operations)
  if (failure !== undefined) return err(failure)
  const parsed = configurationSchema.safeParse(draft)
  return parsed.success
    ? ok(parsed.data)
    : err(describeIssues(parsed.error.issues))
}
