import { type Random, SeededRandom } from '../src/base/index.js'

/** A class of the mix, with its targets and how long its answers are. */
export interface Kind {
  readonly name: string
  readonly tier: number
  readonly startWithinMs: number
  readonly finishWithinMs: number
  readonly prompt: number
  readonly length: number
  /** Share of the requests. */
  readonly share: number
}

/** The classes of the brief: an affidavit is a hundred times longer than a tag summary. */
export const KINDS: readonly Kind[] = [
  { name: 'affidavit', tier: 1, startWithinMs: 2_000, finishWithinMs: 60_000, prompt: 1_500, length: 900, share: 0.04 },
  { name: 'fault-report', tier: 1, startWithinMs: 2_000, finishWithinMs: 30_000, prompt: 400, length: 250, share: 0.08 },
  { name: 'chat', tier: 2, startWithinMs: 630, finishWithinMs: 15_000, prompt: 300, length: 120, share: 0.33 },
  { name: 'summary', tier: 3, startWithinMs: 3_000, finishWithinMs: 20_000, prompt: 1_200, length: 60, share: 0.3 },
  { name: 'tag', tier: 4, startWithinMs: 10_000, finishWithinMs: 60_000, prompt: 150, length: 9, share: 0.25 }
]

/** Organisations with their shares of the load: a few are large. */
const ORGANISATIONS = [
  { name: 'large-1', share: 0.4 },
  { name: 'large-2', share: 0.3 },
  { name: 'small-1', share: 0.1 },
  { name: 'small-2', share: 0.1 },
  { name: 'small-3', share: 0.1 }
]

/** A request of a trace. */
export interface Request {
  readonly id: string
  readonly at: number
  readonly kind: Kind
  readonly organisation: string
  readonly prompt: number
  readonly length: number
}

function choose<Item extends { readonly share: number }> (items: readonly Item[], random: Random): Item {
  let rest = random.next()
  for (const item of items) {
    rest -= item.share
    if (rest < 0) return item
  }
  return items[items.length - 1]!
}

/** A value spread around its mean by a factor of up to two either way. */
function spread (mean: number, random: Random): number {
  return Math.max(1, Math.round(mean * 2 ** (2 * random.next() - 1) * 0.92))
}

/** What a trace is made from. */
export interface TraceSpec {
  readonly seed: number
  readonly seconds: number
  readonly requestsPerSecond: number
  /** Share of the top tier's requests that are kept; all if not given. */
  readonly topShare?: number
  /** An organisation that sends more than its share for a while. */
  readonly burst?: {
    readonly organisation: string
    readonly fromS: number
    readonly toS: number
    readonly times: number
  }
}

/**
 * Makes a trace of requests at random times.
 *
 * @param spec - what it is made from
 * @returns the requests, in order of time
 */
export function makeTrace (spec: TraceSpec): Request[] {
  const random = new SeededRandom(spec.seed)
  const requests: Request[] = []
  const add = (at: number, organisation: string): void => {
    const kind = choose(KINDS, random)
    const [prompt, length] = [spread(kind.prompt, random), spread(kind.length, random)]
    requests.push({ id: `r${requests.length}`, at, kind, organisation, prompt, length })
  }
  const end = spec.seconds * 1_000
  for (let at = 0; at < end;) {
    at += -Math.log(1 - random.next()) * 1_000 / spec.requestsPerSecond
    add(at, choose(ORGANISATIONS, random).name)
  }
  const { burst } = spec
  if (burst !== undefined) {
    const rate = spec.requestsPerSecond * 0.1 * burst.times
    for (let at = burst.fromS * 1_000; at < burst.toS * 1_000;) {
      at += -Math.log(1 - random.next()) * 1_000 / rate
      add(at, burst.organisation)
    }
  }
  const kept = requests.filter(each => each.kind.tier > 1 || random.next() < (spec.topShare ?? 1))
  return kept.sort((a, b) => a.at - b.at)
}

/** Mean tokens and prompt tokens of a request of the mix. */
export const MEANS = {
  length: KINDS.reduce((sum, kind) => sum + kind.share * kind.length, 0),
  prompt: KINDS.reduce((sum, kind) => sum + kind.share * kind.prompt, 0)
}
