import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import { PlatformFailure } from './failure.js'
import type { Objects } from './objectstore.js'
import { type Access, type Reply, SignedClient } from './signedclient.js'

/** The object store, through the S3 protocol. */
export class S3Objects implements Objects {
  private readonly client: SignedClient

  /**
   * @param access - address and keys
   * @param bucket - the bucket's name
   */
  constructor (access: Access, private readonly bucket: string) {
    this.client = new SignedClient('s3', access)
  }

  get (name: string): ResultAsync<string | undefined, PlatformFailure> {
    return this.call('GET', name, '').andThen((reply): ResultAsync<string | undefined, PlatformFailure> => {
      if (reply.status === 404) return okAsync(undefined)
      return this.check('GET', name, reply).map(() => reply.body)
    })
  }

  put (name: string, text: string): ResultAsync<void, PlatformFailure> {
    return this.call('PUT', name, text).andThen(reply => this.check('PUT', name, reply))
  }

  /** Closes the connections. */
  close (): Promise<void> {
    return this.client.close()
  }

  private call (method: string, name: string, body: string): ResultAsync<Reply, PlatformFailure> {
    return this.client.send({ method, path: `/${this.bucket}/${encodeURI(name)}`, headers: {}, body })
  }

  private check (method: string, name: string, reply: Reply): ResultAsync<void, PlatformFailure> {
    if (reply.status === 200) return okAsync(undefined)
    const code = reply.status >= 500 ? 'outage' : 'refused'
    return errAsync(new PlatformFailure({ code }, `${method} ${this.bucket}/${name}: status ${reply.status}`))
  }
}
