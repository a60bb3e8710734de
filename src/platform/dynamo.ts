import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import { PlatformFailure } from './failure.js'
import { type Access, type Reply, SignedClient } from './signedclient.js'
import { type Address, Condition, type Row, type Table } from './table.js'

interface Item {
  pk: { S: string }
  sk: { S: string }
  version: { N: string }
  body: { S: string }
  expires?: { N: string }
}

type Conditions = Record<string, unknown>

function toItem (row: Row): Item {
  const item: Item = {
    pk: { S: row.partition }, sk: { S: row.sort }, version: { N: String(row.version) }, body: { S: row.body }
  }
  if (row.expires !== undefined) item.expires = { N: String(row.expires) }
  return item
}

function toRow (item: Item): Row {
  const row = {
    partition: item.pk.S, sort: item.sk.S, version: Number(item.version.N), body: item.body.S
  }
  return item.expires === undefined ? row : { ...row, expires: Number(item.expires.N) }
}

function toCondition (row: Row, when: Condition): Conditions {
  if (when === Condition.absent) return { ConditionExpression: 'attribute_not_exists(pk)' }
  return {
    ConditionExpression: 'version = :before',
    ExpressionAttributeValues: { ':before': { N: String(row.version - 1) } }
  }
}

/** The table, through the DynamoDB JSON protocol. */
export class DynamoTable implements Table {
  private readonly client: SignedClient

  /**
   * @param access - address and keys
   * @param name - the table's name
   */
  constructor (access: Access, private readonly name: string) {
    this.client = new SignedClient('dynamodb', access)
  }

  get (address: Address): ResultAsync<Row | undefined, PlatformFailure> {
    const key = { pk: { S: address.partition }, sk: { S: address.sort } }
    return this.call<{ Item?: Item }>('GetItem', { Key: key, ConsistentRead: true })
      .map(reply => reply.Item === undefined ? undefined : toRow(reply.Item))
  }

  put (row: Row, when: Condition): ResultAsync<void, PlatformFailure> {
    return this.call('PutItem', { Item: toItem(row), ...toCondition(row, when) }).map(() => undefined)
  }

  range (partition: string, after: string, limit: number): ResultAsync<Row[], PlatformFailure> {
    return this.call<{ Items: Item[] }>('Query', {
      KeyConditionExpression: 'pk = :pk AND sk > :after',
      ExpressionAttributeValues: { ':pk': { S: partition }, ':after': { S: after } },
      ConsistentRead: true,
      Limit: limit
    }).map(reply => reply.Items.map(toRow))
  }

  /** Closes the connections. */
  close (): Promise<void> {
    return this.client.close()
  }

  private call<Answer> (operation: string, input: object): ResultAsync<Answer, PlatformFailure> {
    return this.client.send({
      method: 'POST',
      path: '/',
      headers: { 'content-type': 'application/x-amz-json-1.0', 'x-amz-target': `DynamoDB_20120810.${operation}` },
      body: JSON.stringify({ TableName: this.name, ...input })
    }).andThen(reply => this.read<Answer>(operation, reply))
  }

  private read<Answer> (operation: string, reply: Reply): ResultAsync<Answer, PlatformFailure> {
    if (reply.status === 200) return okAsync(JSON.parse(reply.body) as Answer)
    const what = `${operation} on table ${this.name}: status ${reply.status}: ${reply.body.slice(0, 200)}`
    if (reply.status >= 500) return errAsync(new PlatformFailure({ code: 'outage' }, what))
    if (reply.body.includes('ConditionalCheckFailed')) return errAsync(new PlatformFailure({ code: 'conflict' }, what))
    if (/Throttling|ThroughputExceeded/.test(reply.body)) return errAsync(new PlatformFailure({ code: 'outage' }, what))
    return errAsync(new PlatformFailure({ code: 'refused' }, what))
  }
}
