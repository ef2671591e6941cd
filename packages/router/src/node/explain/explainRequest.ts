import { err, ok, type Result } from 'neverthrow'
import * as v from 'valibot'

const text = v.pipe(v.string(), v.minLength(1))
const amount = v.pipe(v.number(), v.finite(), v.minValue(0))

const schema = v.strictObject({
  host: text,
  path: v.pipe(v.string(), v.startsWith('/')),
  method: v.optional(text, 'POST'),
  /** Name of the customer, instead of one of its keys. */
  customer: v.exactOptional(text),
  key: v.exactOptional(text),
  /** Parts of the prompt in order. */
  prompt: v.optional(v.array(v.object({ id: text, tokens: amount })), []),
  deadlineMs: v.exactOptional(amount),
  /** Attempt id, which decides between equal targets and services of a split. */
  attempt: v.optional(v.string(), ''),
  /** Attempt that began the stream which the request takes up. */
  resumedAttempt: v.exactOptional(text),
})

/** A request whose way is to be explained. */
export type ExplainRequest = v.InferOutput<typeof schema>

/** Decodes a question; the error names the field and what was expected. */
export function decodeExplainRequest(
  body: string,
): Result<ExplainRequest, string> {
  try {
    const parsed = v.safeParse(schema, JSON.parse(body))
    if (parsed.success) return ok(parsed.output)
    const [issue] = parsed.issues
    return err(`${v.getDotPath(issue) ?? 'the body'}: ${issue.message}`)
  } catch {
    return err('the body: expected a JSON object')
  }
}
