import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import { PlatformFailure } from './failure.js'
import type { ObjectStore } from './objectstore.js'
import { type ServiceAccess, type ServiceResponse, SignedClient } from './signedclient.js'

/** An object store that is reached through the S3 protocol. */
export class S3ObjectStore implements ObjectStore {
  private readonly client: SignedClient

  /**
   * @param access - address, region and credentials of the S3 service
   * @param bucket - name of the bucket that holds the objects
   */
  constructor (access: ServiceAccess, private readonly bucket: string) {
    this.client = new SignedClient('s3', access)
  }

  get (name: string): ResultAsync<string | undefined, PlatformFailure> {
    return this.call('GET', name, '').andThen((response): ResultAsync<string | undefined, PlatformFailure> => {
      if (response.status === 404) return okAsync(undefined)
      return this.checkStatus('GET', name, response).map(() => response.body)
    })
  }

  put (name: string, text: string): ResultAsync<void, PlatformFailure> {
    return this.call('PUT', name, text).andThen(response => this.checkStatus('PUT', name, response))
  }

  /** Closes all connections; pending calls fail. */
  close (): Promise<void> {
    return this.client.close()
  }

  private call (method: string, name: string, body: string): ResultAsync<ServiceResponse, PlatformFailure> {
    return this.client.send({ method, path: `/${this.bucket}/${encodeURI(name)}`, headers: {}, body })
  }

  private checkStatus (method: string, name: string, response: ServiceResponse): ResultAsync<void, PlatformFailure> {
    if (response.status === 200) return okAsync(undefined)
    const code = response.status >= 500 ? 'outage' : 'refused'
    return errAsync(new PlatformFailure({ code }, `${method} ${this.bucket}/${name}: status ${response.status}`))
  }
}
