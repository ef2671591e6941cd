import {
  type ClientRequest,
  request as requestHttp,
  type RequestOptions,
} from 'node:http'
import { request as requestHttps } from 'node:https'

/** Opens a request over HTTP or HTTPS, as the URL says. */
export function requestUrl(
  url: string | URL,
  options: RequestOptions,
): ClientRequest {
  const secure = String(url).startsWith('https:')
  return secure ? requestHttps(url, options) : requestHttp(url, options)
}
