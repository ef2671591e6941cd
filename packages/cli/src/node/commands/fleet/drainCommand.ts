import { boolean, command, flag, positional, string } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { asVersion, pathOf, runCall } from '../runCall.js'

/** Takes a target out of service, or back in. */
export const drainCommand = command({
  name: 'drain',
  description: 'Give a target no new requests; those in flight finish.',
  examples: [
    { description: 'before maintenance', command: 'auburnbay drain engine-3' },
    {
      description: 'back into service',
      command: 'auburnbay drain --undo engine-3',
    },
  ],
  args: {
    ...connectionArgs,
    target: positional({ type: string, displayName: 'TARGET' }),
    undo: flag({ long: 'undo', type: boolean, description: 'take it back in' }),
  },
  handler: ({ target, undo, ...connection }) => {
    const path = pathOf('targets', target, undo ? 'undrain' : 'drain')
    const what = undo ? `${target} takes requests again` : `Draining ${target}`
    return runCall(connection, { method: 'POST', path }, asVersion(what))
  },
})
