import {
  type Configuration,
  joinPointer,
  redactHashes,
  Role,
  Section,
} from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminParts } from '../adminParts.js'
import { refuse, reply } from '../adminReplies.js'
import type { AdminCall, AdminReply, AdminRoute } from '../adminRoute.js'
import type { ConfigurationWriter } from '../configurationWriter.js'
import { parseBody } from '../parseBody.js'

/** Fields that hold hashes, which nobody can read and so cannot send back. */
const KEPT_FIELDS = ['keys', 'token'] as const

const entryBody = z.record(z.string(), z.unknown())

type Entries = Record<string, Record<string, unknown>>

function entriesOf(cfg: Configuration, section: Section): Entries {
  return cfg[section]
}

function withKeptFields(
  entry: Record<string, unknown>,
  before: Record<string, unknown> | undefined,
): Record<string, unknown> {
  const merged = { ...entry }
  for (const field of KEPT_FIELDS) {
    const kept = before?.[field]
    if (kept !== undefined) merged[field] ??= kept
  }
  return merged
}

function createRoutes(
  section: Section,
  { tailer }: AdminParts,
  writer: ConfigurationWriter,
): AdminRoute[] {
  const entry = `/${section}/:id`
  const entries = (): Entries => entriesOf(tailer.state.configuration, section)

  function find(id: string): Record<string, unknown> | undefined {
    return Object.hasOwn(entries(), id) ? entries()[id] : undefined
  }

  function missing(id: string): AdminReply {
    const message = `${section} has no ${id}; list them with GET /${section}`
    return refuse(AdminErrorCode.NotFound, message)
  }

  async function put({ actor, params, body }: AdminCall): Promise<AdminReply> {
    const { id = '' } = params
    const parsed = parseBody(entryBody, body)
    if (parsed.isErr()) return parsed.error
    const result = await writer.update(actor, (cfg) => {
      const before = entriesOf(cfg, section)[id]
      const value = withKeptFields(parsed.value, before)
      return [{ op: 'add', path: joinPointer(section, id), value }]
    })
    return result.isOk() ? reply(result.value) : result.error
  }

  async function remove({ actor, params }: AdminCall): Promise<AdminReply> {
    const { id = '' } = params
    if (!find(id)) return missing(id)
    const path = joinPointer(section, id)
    const result = await writer.update(actor, () => [{ op: 'remove', path }])
    return result.isOk() ? reply(result.value) : result.error
  }

  const list: AdminRoute = {
    method: 'GET',
    path: `/${section}`,
    role: Role.Viewer,
    handle: () => reply(redactHashes(entries())),
  }
  const show: AdminRoute = {
    method: 'GET',
    path: entry,
    role: Role.Viewer,
    handle: ({ params }) => {
      const { id = '' } = params
      const found = find(id)
      return found ? reply(redactHashes(found)) : missing(id)
    },
  }
  return [
    // The list of targets stands with their loads.
    ...(section === Section.Targets ? [] : [list]),
    show,
    { method: 'PUT', path: entry, role: Role.Editor, handle: put },
    { method: 'DELETE', path: entry, role: Role.Editor, handle: remove },
  ]
}

/** Paths that read and change the entries of each section. */
export function createSectionRoutes(
  parts: AdminParts,
  writer: ConfigurationWriter,
): AdminRoute[] {
  const sections = Object.values(Section)
  return sections.flatMap((section) => createRoutes(section, parts, writer))
}
