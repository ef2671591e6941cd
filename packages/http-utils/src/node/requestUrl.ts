import {
  type ClientRequest,
  request as requestHttp,
  type RequestOptions,
} from 'node:http'
import { request as requestHttps } from 'node:https'

/** Opens an HTTP or HTTPS request, depending on the protocol of the URL. */
export function requestUrl(
  url: string | URL,
  options: RequestOptions,
): ClientRequest {
  const secure = String(url).startsWith('https:')
  return secure ? requestHttps(url, options) : requestHttp(url, options)
}
