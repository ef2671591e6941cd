import { command } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { createTableFormatter, runRequest } from '../runRequest.js'

/** Shows the routers that the queried router knows. */
export const routersCommand = command({
  name: 'routers',
  description: 'Show the routers that the queried router knows.',
  args: connectionArgs,
  handler: (args) =>
    runRequest(
      args,
      { path: '/routers' },
      createTableFormatter([
        { title: 'ROUTER', field: 'id' },
        { title: 'DATA CENTRE', field: 'dataCentre' },
        { title: 'VERSION', field: 'version', right: true },
        { title: 'STOPPING', field: 'stopping' },
        { title: 'HEARD MS AGO', field: 'ageMs', right: true },
      ]),
    ),
})
