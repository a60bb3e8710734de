import type { Result } from 'neverthrow'
import type { Lifecycle } from '../base/index.js'
import {
  DynamoTable, type HostList, HttpHostList, type ObjectStore, S3ObjectStore, type Table
} from '../platform/index.js'
import { readTextFile, type Settings, type SettingsFailure } from '../settings/index.js'

/** Clients of the platform's services. */
export interface Platform {
  readonly table: Table
  readonly objects: ObjectStore
  readonly hosts: HostList
}

/**
 * Creates the clients of the platform's services.
 *
 * @param settings - has the addresses of the services and the file of the secret key
 * @param lifecycle - closes the connections when the host stops
 * @returns the clients, or why the secret key can't be read
 */
export function openPlatform (settings: Settings, lifecycle: Lifecycle): Result<Platform, SettingsFailure> {
  const { platform } = settings
  return readTextFile(platform.secret_key_file).map(secretKey => {
    const access = {
      region: platform.region, accessKey: platform.access_key, secretKey, timeoutMs: platform.timeout
    }
    const table = new DynamoTable({ ...access, address: platform.table }, platform.table_name)
    const objects = new S3ObjectStore({ ...access, address: platform.objects }, platform.bucket)
    lifecycle.onClose('table', () => table.close())
    lifecycle.onClose('objects', () => objects.close())
    return { table, objects, hosts: new HttpHostList(platform.hosts, platform.timeout) }
  })
}
