import { writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Exit codes of a case. */
const HELD = 0
const BROKEN = 1
const NOT_RUN = 2

/** Whether the disruption is to be brought about. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Longest time of a case, in milliseconds. */
const MAX_MS = 110_000

/**
 * Runs a case and ends the process with its result.
 *
 * @param url - import.meta.url of the case
 * @param run - gets `note`, which writes a line of the record, and `own`, which registers what is to be closed at the
 *   end; returns the lines that say which rules were broken
 */
export async function runCase (url, run) {
  const startedAt = Date.now()
  const lines = [`trouble: ${hasTrouble}`]
  const owned = []
  const note = text => { lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`) }
  const own = thing => {
    owned.push(thing)
    return thing
  }
  let code = NOT_RUN
  const timeout = new Promise((resolve, reject) => {
    setTimeout(() => reject(new Error('the case takes too long')), MAX_MS).unref()
  })
  try {
    const broken = await Promise.race([run({ note, own }), timeout])
    code = broken.length > 0 ? BROKEN : HELD
    lines.push(...broken.map(text => `BROKEN: ${text}`), code === HELD ? 'the rule held' : 'the rule was broken')
  } catch (error) {
    lines.push(`could not run: ${error.stack}`)
  }
  for (const thing of owned.reverse()) await (thing.stop?.() ?? thing.close?.())
  writeFileSync(join(dirname(fileURLToPath(url)), 'record.txt'), `${lines.join('\n')}\n`)
  console.log(lines.at(-1))
  process.exit(code)
}
