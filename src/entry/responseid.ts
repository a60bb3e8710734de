import { createHmac } from 'node:crypto'
import { sameSecret } from '../base/index.js'

const TAG_DIGITS = 16
const FORM = /^resp_([0-9a-f-]{36})_([0-9a-f]{16})_([a-z0-9._-]+)$/

/**
 * Makes and checks ids of responses. An id names the server that runs the
 * response and carries a tag, so that only its organisation can read it.
 */
export class ResponseIds {
  /** @param key - the key which all hosts share */
  constructor (private readonly key: string) {}

  /**
   * @param unique - a UUID
   * @param server - the server that is to run the response
   * @param organisation - the organisation it belongs to
   * @returns the id
   */
  make (unique: string, server: string, organisation: string): string {
    return `resp_${unique}_${this.tag(unique, server, organisation)}_${server}`
  }

  /**
   * @param id - an id as a caller sent it
   * @param organisation - the caller's organisation
   * @returns the server that runs it, or undefined if it is no id of the organisation's
   */
  serverOf (id: string, organisation: string): string | undefined {
    const match = FORM.exec(id)
    if (match === null) return undefined
    const [, unique, tag, server] = match
    return sameSecret(tag!, this.tag(unique!, server!, organisation)) ? server : undefined
  }

  private tag (unique: string, server: string, organisation: string): string {
    return createHmac('sha256', this.key).update(`${unique}/${server}/${organisation}`)
      .digest('hex').slice(0, TAG_DIGITS)
  }
}
