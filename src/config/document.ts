import type { Result } from 'neverthrow'
import { z } from 'zod'
import { type DocumentFailure, readDocument } from '../base/index.js'
import type { ChangeStep } from './change.js'
import { classSchema, toWorkClass } from './class.js'
import { operatorSchema, organisationSchema, toOperator, toOrganisation } from './organisation.js'
import { serverSchema, toServer } from './server.js'
import { serviceSchema, toService } from './service.js'

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}$/, 'expected up to 64 of a-z, 0-9, ".", "_" and "-"')

const removalsSchema = z.strictObject({
  classes: z.array(nameSchema).default([]),
  organisations: z.array(nameSchema).default([]),
  operators: z.array(nameSchema).default([]),
  servers: z.array(nameSchema).default([]),
  services: z.array(nameSchema).default([])
})

const documentSchema = z.strictObject({
  classes: z.record(nameSchema, classSchema).default({}),
  organisations: z.record(nameSchema, organisationSchema).default({}),
  operators: z.record(nameSchema, operatorSchema).default({}),
  services: z.record(nameSchema, serviceSchema).default({}),
  servers: z.record(nameSchema, serverSchema).default({}),
  remove: removalsSchema.prefault({})
})

function toChangeSteps (document: z.output<typeof documentSchema>): ChangeStep[] {
  const puts: ChangeStep[] = [
    ...Object.entries(document.classes).map(([name, definition]): ChangeStep =>
      ({ step: 'put', section: 'classes', item: toWorkClass(name, definition) })),
    ...Object.entries(document.organisations).map(([name, definition]): ChangeStep =>
      ({ step: 'put', section: 'organisations', item: toOrganisation(name, definition) })),
    ...Object.entries(document.operators).map(([name, definition]): ChangeStep =>
      ({ step: 'put', section: 'operators', item: toOperator(name, definition) })),
    ...Object.entries(document.services).map(([name, definition]): ChangeStep =>
      ({ step: 'put', section: 'services', item: toService(name, definition) })),
    ...Object.entries(document.servers).map(([name, definition]): ChangeStep =>
      ({ step: 'put', section: 'servers', item: toServer(name, definition) }))
  ]
  const sections = ['classes', 'organisations', 'operators', 'services', 'servers'] as const
  const removals = sections.flatMap(section =>
    document.remove[section].map((name): ChangeStep => ({ step: 'remove', section, name })))
  return [...puts, ...removals]
}

/**
 * Parses a configuration document: the items to add or replace and, under
 * `remove`, the names of the items to remove. All other items stay unchanged.
 *
 * @param file - the document's file name, for error messages
 * @param text - the content of the document, in TOML
 * @returns the steps that make the change, or the first error in the document
 */
export function parseChangeSteps (file: string, text: string): Result<ChangeStep[], DocumentFailure> {
  return readDocument(file, text, documentSchema).map(toChangeSteps)
}
