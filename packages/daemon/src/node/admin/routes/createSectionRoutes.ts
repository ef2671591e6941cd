import {
  type Configuration,
  joinPointer,
  redactHashes,
  Role,
  Section,
} from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminServerOptions } from '../adminServerOptions.js'
import { createErrorResponse, createResponse } from '../adminResponses.js'
import type { AdminCall, AdminResponse, AdminRoute } from '../adminRoute.js'
import type { ConfigurationWriter } from '../createConfigurationWriter.js'
import { parseBody } from '../parseBody.js'

/** Fields that an update may omit, as clients see only their redacted hashes. */
const PRESERVED_FIELDS = ['keys', 'token'] as const

const entryBodySchema = z.record(z.string(), z.unknown())

type Entries = Record<string, Record<string, unknown>>

function getEntries(cfg: Configuration, section: Section): Entries {
  return cfg[section]
}

function preserveFields(
  entry: Record<string, unknown>,
  before: Record<string, unknown> | undefined,
): Record<string, unknown> {
  const merged = { ...entry }
  for (const field of PRESERVED_FIELDS) {
    const value = before?.[field]
    if (value !== undefined) merged[field] ??= value
  }
  return merged
}

function createRoutes(
  section: Section,
  { tailer }: AdminServerOptions,
  writer: ConfigurationWriter,
): AdminRoute[] {
  const entry = `/${section}/:id`
  const entries = (): Entries => getEntries(tailer.state.configuration, section)

  function find(id: string): Record<string, unknown> | undefined {
    return Object.hasOwn(entries(), id) ? entries()[id] : undefined
  }

  function notFound(id: string): AdminResponse {
    const message = `${section} has no ${id}; list them with GET /${section}`
    return createErrorResponse(AdminErrorCode.NotFound, message)
  }

  async function put({
    actor,
    params,
    body,
  }: AdminCall): Promise<AdminResponse> {
    const { id = '' } = params
    const parsed = parseBody(entryBodySchema, body)
    if (parsed.isErr()) return parsed.error
    const result = await writer.update(actor, (cfg) => {
      const before = getEntries(cfg, section)[id]
      const value = preserveFields(parsed.value, before)
      return [{ op: 'add', path: joinPointer(section, id), value }]
    })
    return result.isOk() ? createResponse(result.value) : result.error
  }

  async function remove({ actor, params }: AdminCall): Promise<AdminResponse> {
    const { id = '' } = params
    if (!find(id)) return notFound(id)
    const path = joinPointer(section, id)
    const result = await writer.update(actor, () => [{ op: 'remove', path }])
    return result.isOk() ? createResponse(result.value) : result.error
  }

  const list: AdminRoute = {
    method: 'GET',
    path: `/${section}`,
    role: Role.Viewer,
    handle: () => createResponse(redactHashes(entries())),
  }
  const show: AdminRoute = {
    method: 'GET',
    path: entry,
    role: Role.Viewer,
    handle: ({ params }) => {
      const { id = '' } = params
      const found = find(id)
      return found ? createResponse(redactHashes(found)) : notFound(id)
    },
  }
  return [
    // createFleetRoutes lists the targets, together with their loads.
    ...(section === Section.Targets ? [] : [list]),
    show,
    { method: 'PUT', path: entry, role: Role.Editor, handle: put },
    { method: 'DELETE', path: entry, role: Role.Editor, handle: remove },
  ]
}

/** Routes that read and change the entries of all sections. */
export function createSectionRoutes(
  options: AdminServerOptions,
  writer: ConfigurationWriter,
): AdminRoute[] {
  const sections = Object.values(Section)
  return sections.flatMap((section) => createRoutes(section, options, writer))
}
