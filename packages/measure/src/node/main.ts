import { meetsBound } from './figure.js'
import { measureGroups } from './measureGroups.js'

const EXIT_BOUND_MISSED = 1
const EXIT_UNKNOWN_GROUP = 2

const requestedNames = process.argv.slice(2)
const groupNames = measureGroups.map((group) => group.name)
for (const name of requestedNames) {
  if (groupNames.includes(name)) continue
  process.stderr.write(
    `[measure] unknown group ${name}; expected one of ${groupNames.join(', ')}\n`,
  )
  process.exit(EXIT_UNKNOWN_GROUP)
}

for (const group of measureGroups) {
  if (requestedNames.length > 0 && !requestedNames.includes(group.name))
    continue
  for (const figure of await group.run()) {
    const kept = meetsBound(figure)
    process.stdout.write(`${JSON.stringify({ ...figure, kept })}\n`)
    if (!kept && !figure.knownRed) process.exitCode = EXIT_BOUND_MISSED
  }
}
