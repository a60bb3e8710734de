import type { Result } from 'neverthrow'
import { z } from 'zod'
import { type DocumentFailure, readDocument } from '../base/index.js'
import type { Change } from './change.js'
import { classSchema, toClass } from './class.js'
import { operatorSchema, organisationSchema, toOperator, toOrganisation } from './organisation.js'
import { serverSchema, toServer } from './server.js'
import { serviceSchema, toService } from './service.js'

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}$/, 'expected up to 64 of a-z, 0-9, ".", "_" and "-"')

const removeSchema = z.strictObject({
  classes: z.array(name).default([]),
  organisations: z.array(name).default([]),
  operators: z.array(name).default([]),
  servers: z.array(name).default([]),
  services: z.array(name).default([])
})

const schema = z.strictObject({
  classes: z.record(name, classSchema).default({}),
  organisations: z.record(name, organisationSchema).default({}),
  operators: z.record(name, operatorSchema).default({}),
  services: z.record(name, serviceSchema).default({}),
  servers: z.record(name, serverSchema).default({}),
  remove: removeSchema.prefault({})
})

function toChanges (stated: z.output<typeof schema>): Change[] {
  const puts: Change[] = [
    ...Object.entries(stated.classes).map(([key, value]): Change =>
      ({ step: 'put', section: 'classes', item: toClass(key, value) })),
    ...Object.entries(stated.organisations).map(([key, value]): Change =>
      ({ step: 'put', section: 'organisations', item: toOrganisation(key, value) })),
    ...Object.entries(stated.operators).map(([key, value]): Change =>
      ({ step: 'put', section: 'operators', item: toOperator(key, value) })),
    ...Object.entries(stated.services).map(([key, value]): Change =>
      ({ step: 'put', section: 'services', item: toService(key, value) })),
    ...Object.entries(stated.servers).map(([key, value]): Change =>
      ({ step: 'put', section: 'servers', item: toServer(key, value) }))
  ]
  const sections = ['classes', 'organisations', 'operators', 'services', 'servers'] as const
  const removals = sections.flatMap(section =>
    stated.remove[section].map((key): Change => ({ step: 'remove', section, name: key })))
  return [...puts, ...removals]
}

/**
 * Reads a configuration document: the items to put and, under `remove`, the
 * names to remove. What it does not name stays as it is.
 *
 * @param file - the document's name, for messages
 * @param text - the document, in TOML
 * @returns the steps it states, or what is wrong with it
 */
export function readChanges (file: string, text: string): Result<Change[], DocumentFailure> {
  return readDocument(file, text, schema).map(toChanges)
}
