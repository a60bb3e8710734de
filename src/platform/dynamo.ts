import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import { PlatformFailure } from './failure.js'
import { type ServiceAccess, type ServiceResponse, SignedClient } from './signedclient.js'
import { type Row, type RowKey, type Table, WriteCondition } from './table.js'

/** A row as a DynamoDB item. */
interface Item {
  pk: { S: string }
  sk: { S: string }
  version: { N: string }
  body: { S: string }
  expires?: { N: string }
}

/** The parameters of a PutItem call that make it conditional. */
type ConditionParameters = Record<string, unknown>

function toItem (row: Row): Item {
  const item: Item = {
    pk: { S: row.partition }, sk: { S: row.sortKey }, version: { N: String(row.version) }, body: { S: row.body }
  }
  if (row.expiresAtS !== undefined) item.expires = { N: String(row.expiresAtS) }
  return item
}

function toRow (item: Item): Row {
  const row = {
    partition: item.pk.S, sortKey: item.sk.S, version: Number(item.version.N), body: item.body.S
  }
  return item.expires === undefined ? row : { ...row, expiresAtS: Number(item.expires.N) }
}

function toConditionParameters (row: Row, condition: WriteCondition): ConditionParameters {
  if (condition === WriteCondition.absent) return { ConditionExpression: 'attribute_not_exists(pk)' }
  return {
    ConditionExpression: 'version = :before',
    ExpressionAttributeValues: { ':before': { N: String(row.version - 1) } }
  }
}

/** A table that is reached through the DynamoDB JSON protocol. */
export class DynamoTable implements Table {
  private readonly client: SignedClient

  /**
   * @param access - address, region and credentials of the DynamoDB service
   * @param tableName - name of the table in DynamoDB
   */
  constructor (access: ServiceAccess, private readonly tableName: string) {
    this.client = new SignedClient('dynamodb', access)
  }

  get (key: RowKey): ResultAsync<Row | undefined, PlatformFailure> {
    const itemKey = { pk: { S: key.partition }, sk: { S: key.sortKey } }
    return this.call<{ Item?: Item }>('GetItem', { Key: itemKey, ConsistentRead: true })
      .map(output => output.Item === undefined ? undefined : toRow(output.Item))
  }

  put (row: Row, condition: WriteCondition): ResultAsync<void, PlatformFailure> {
    return this.call('PutItem', { Item: toItem(row), ...toConditionParameters(row, condition) }).map(() => undefined)
  }

  query (partition: string, after: string, limit: number): ResultAsync<Row[], PlatformFailure> {
    return this.call<{ Items: Item[] }>('Query', {
      KeyConditionExpression: 'pk = :pk AND sk > :after',
      ExpressionAttributeValues: { ':pk': { S: partition }, ':after': { S: after } },
      ConsistentRead: true,
      Limit: limit
    }).map(output => output.Items.map(toRow))
  }

  /** Closes all connections; pending calls fail. */
  close (): Promise<void> {
    return this.client.close()
  }

  private call<Output> (operation: string, input: object): ResultAsync<Output, PlatformFailure> {
    return this.client.send({
      method: 'POST',
      path: '/',
      headers: { 'content-type': 'application/x-amz-json-1.0', 'x-amz-target': `DynamoDB_20120810.${operation}` },
      body: JSON.stringify({ TableName: this.tableName, ...input })
    }).andThen(response => this.readOutput<Output>(operation, response))
  }

  private readOutput<Output> (operation: string, response: ServiceResponse): ResultAsync<Output, PlatformFailure> {
    if (response.status === 200) return okAsync(JSON.parse(response.body) as Output)
    const message = `${operation} on table ${this.tableName}: status ${response.status}: ${response.body.slice(0, 200)}`
    if (response.status >= 500) return errAsync(new PlatformFailure({ code: 'outage' }, message))
    if (response.body.includes('ConditionalCheckFailed')) return errAsync(new PlatformFailure({ code: 'conflict' }, message))
    if (/Throttling|ThroughputExceeded/.test(response.body)) return errAsync(new PlatformFailure({ code: 'outage' }, message))
    return errAsync(new PlatformFailure({ code: 'refused' }, message))
  }
}
