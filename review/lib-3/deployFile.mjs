// Reads the deploy file (TOML) and renders templates as DEPLOY.md describes.
import { readFileSync } from 'node:fs'

/** Parses the part of TOML that deploy files use: tables, strings, numbers, arrays and inline tables. */
export function parseToml(text) {
  const root = {}
  let table = root
  let at = 0
  const rest = () => text.slice(at)
  function skip(pattern) {
    const match = pattern.exec(rest())
    if (match && match.index === 0) at += match[0].length
    return match && match.index === 0 ? match[0] : undefined
  }
  const skipBlank = () => skip(/^(?:\s|#[^\n]*)*/)
  const skipSpaces = () => skip(/^[ \t]*/)
  function fail() {
    throw new Error(`deploy file: cannot read '${rest().slice(0, 40)}'`)
  }
  function readKey() {
    const quoted = skip(/^"(?:[^"\\]|\\.)*"/)
    if (quoted !== undefined) return JSON.parse(quoted)
    const literal = skip(/^'[^']*'/)
    if (literal !== undefined) return literal.slice(1, -1)
    return skip(/^[A-Za-z0-9_-]+/) ?? fail()
  }
  function readPath() {
    const path = [readKey()]
    for (;;) {
      skipSpaces()
      if (!skip(/^\./)) return path
      skipSpaces()
      path.push(readKey())
    }
  }
  function enter(start, path) {
    let inner = start
    for (const key of path) {
      inner[key] ??= {}
      inner = Array.isArray(inner[key]) ? inner[key].at(-1) : inner[key]
    }
    return inner
  }
  function readValue() {
    if (text[at] === '"' || text[at] === "'") return readKey()
    if (skip(/^\[/)) {
      const list = []
      for (;;) {
        skipBlank()
        if (skip(/^\]/)) return list
        list.push(readValue())
        skipBlank()
        skip(/^,/)
      }
    }
    if (skip(/^\{/)) {
      const inner = {}
      for (;;) {
        skipBlank()
        if (skip(/^\}/)) return inner
        readPair(inner)
        skipBlank()
        skip(/^,/)
      }
    }
    const word = skip(/^[^\s,\]}#]+/) ?? fail()
    if (word === 'true' || word === 'false') return word === 'true'
    return Number(word.replaceAll('_', ''))
  }
  function readPair(into) {
    const path = readPath()
    skipSpaces()
    if (!skip(/^=/)) fail()
    skipSpaces()
    enter(into, path.slice(0, -1))[path.at(-1)] = readValue()
  }
  for (;;) {
    skipBlank()
    if (at >= text.length) return root
    if (skip(/^\[\[/)) {
      const path = readPath()
      if (!skip(/^\]\]/)) fail()
      const parent = enter(root, path.slice(0, -1))
      parent[path.at(-1)] ??= []
      table = {}
      parent[path.at(-1)].push(table)
    } else if (skip(/^\[/)) {
      table = enter(root, readPath())
      if (!skip(/^\]/)) fail()
    } else readPair(table)
  }
}

function lookUp(scopes, path) {
  if (path === '.') return scopes[0].value
  const [first, ...others] = path.split('.')
  for (const { value } of scopes) {
    if (value === null || typeof value !== 'object' || !(first in value))
      continue
    let found = value[first]
    for (const name of others) found = found?.[name]
    return found
  }
  return undefined
}

function textOf(value) {
  if (value === undefined || value === null) return ''
  if (Array.isArray(value)) return value.map(textOf).join(',')
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}

function isPresent(value) {
  if (value === undefined || value === null || value === false) return false
  return !(Array.isArray(value) && value.length === 0)
}

/** Returns the sections of a list or table, or one for a present value. */
function entriesOf(value) {
  if (!isPresent(value)) return []
  if (Array.isArray(value)) return value.map((item, i) => [i, item])
  if (typeof value === 'object') return Object.entries(value)
  return [[undefined, undefined]]
}

const TAG = /\{\{([#^/]?)([^{}]+?)(\|json)?\}\}/g

/** Renders a template with a process's settings. */
export function render(template, settings) {
  const tokens = []
  let last = 0
  for (const match of template.matchAll(TAG)) {
    tokens.push({ text: template.slice(last, match.index) })
    tokens.push({ sign: match[1], name: match[2].trim(), json: match[3] })
    last = match.index + match[0].length
  }
  tokens.push({ text: template.slice(last) })

  function endOf(start) {
    let depth = 0
    for (let i = start; i < tokens.length; i += 1) {
      if (tokens[i].sign === '#' || tokens[i].sign === '^') depth += 1
      if (tokens[i].sign === '/') depth -= 1
      if (depth === 0) return i
    }
    throw new Error('template: a section has no end')
  }

  function renderPart(from, to, scopes) {
    let out = ''
    for (let i = from; i < to; i += 1) {
      const { text, sign, name, json } = tokens[i]
      if (text !== undefined) {
        out += text
        continue
      }
      if (sign === '#' || sign === '^') {
        const end = endOf(i)
        const value = lookUp(scopes, name)
        const entries = entriesOf(value)
        if (sign === '^' && entries.length === 0)
          out += renderPart(i + 1, end, scopes)
        if (sign === '#')
          entries.forEach(([key, item], index) => {
            const isLast = index === entries.length - 1
            const inner = item === undefined ? scopes[0].value : item
            out += renderPart(i + 1, end, [
              { value: inner, key, isLast },
              ...scopes,
            ])
          })
        i = end
        continue
      }
      if (name === ',') out += scopes[0].isLast === false ? ',' : ''
      else if (name === '@') out += textOf(scopes[0].key)
      else {
        const value = lookUp(scopes, name)
        out += json ? JSON.stringify(value ?? null) : textOf(value)
      }
    }
    return out
  }
  return renderPart(0, tokens.length, [{ value: settings }])
}

/** Reads the deploy file; returns the role that serves callers. */
export function readRole(root) {
  const deploy = parseToml(
    readFileSync(new URL('deploy/system.toml', root), 'utf8'),
  )
  const role = Object.entries(deploy.roles).find(([, { serves }]) =>
    serves?.includes('frontend'),
  )
  const [name, fields] = role
  return {
    name,
    run: fields.run,
    env: fields.env ?? {},
    template: readFileSync(new URL(fields.template, root), 'utf8'),
  }
}
