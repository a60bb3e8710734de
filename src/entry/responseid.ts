import { createHmac } from 'node:crypto'
import { areSecretsEqual } from '../base/index.js'

const TAG_HEX_DIGITS = 16
const ID_PATTERN = /^resp_([0-9a-f-]{36})_([0-9a-f]{16})_([a-z0-9._-]+)$/

/**
 * Creates and verifies response ids. An id contains the server that runs the
 * response and an HMAC tag, so that only its organisation can read it.
 */
export class ResponseIds {
  /** @param key - the secret key that all hosts share */
  constructor (private readonly key: string) {}

  /**
   * @param uuid - a UUID that identifies the response
   * @param server - the name of the server that runs the response
   * @param organisation - the organisation that the response belongs to
   * @returns the response id
   */
  create (uuid: string, server: string, organisation: string): string {
    return `resp_${uuid}_${this.tag(uuid, server, organisation)}_${server}`
  }

  /**
   * @param id - a response id as sent by a caller
   * @param organisation - the caller's organisation
   * @returns the server that runs the response, or undefined if the id is not valid for this organisation
   */
  serverOf (id: string, organisation: string): string | undefined {
    const match = ID_PATTERN.exec(id)
    if (match === null) return undefined
    const [, uuid, tag, server] = match
    return areSecretsEqual(tag!, this.tag(uuid!, server!, organisation)) ? server : undefined
  }

  private tag (uuid: string, server: string, organisation: string): string {
    return createHmac('sha256', this.key).update(`${uuid}/${server}/${organisation}`)
      .digest('hex').slice(0, TAG_HEX_DIGITS)
  }
}
