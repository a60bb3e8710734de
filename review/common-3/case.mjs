/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { dirname, join } from 'node:path'
import { Fleet, sleep } from './fleet.mjs'

/** Longest time of a case, in milliseconds. */
const MAX_RUN_MS = 110_000

/** Time for the gateways to know each other and the workers, in milliseconds. */
const SETTLE_MS = 4_000

export const hasTrouble = process.env.TROUBLE !== '0'

/**
 * @param script - path of the script, beside which the record is written
 * @param options - `workers`, number of `gateways`, the `config`
 * @param play - plays the case; returns how the rule was broken, an empty list if it held
 */
export async function runCase (script, { workers, gateways, config }, play) {
  const fleet = new Fleet()
  const record = join(dirname(script), 'record.txt')
  const timer = setTimeout(() => { void finish(2, 'it took too long') }, MAX_RUN_MS)
  const finish = async (code, text) => {
    clearTimeout(timer)
    fleet.note(text)
    await fleet.stop(record)
    process.stdout.write(`${text}\n`)
    process.exit(code)
  }
  try {
    fleet.workers.push(...await Promise.all(workers.map(worker => worker.listen())))
    await fleet.start(gateways, { config })
    await sleep(SETTLE_MS)
    fleet.note(`the case begins; the disruption is ${hasTrouble ? 'on' : 'off'}`)
    const faults = await play(fleet)
    for (const fault of faults) fleet.note(`FAULT: ${fault}`)
    if (faults.length > 0) await finish(1, `the rule was broken: ${faults.length} times`)
    else await finish(0, 'the rule held')
  } catch (thrown) {
    await finish(2, `could not run: ${thrown.stack}`)
  }
}
