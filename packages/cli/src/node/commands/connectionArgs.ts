import { option, string } from 'cmd-ts'

/** Options that name the router to ask and the operator who asks. */
export const connectionArgs = {
  admin: option({
    long: 'admin',
    env: 'AUBURNBAY_ADMIN',
    type: string,
    description: 'URL of a router’s administration listener',
  }),
  token: option({
    long: 'token',
    env: 'AUBURNBAY_TOKEN',
    type: string,
    description: 'operator token',
  }),
}
