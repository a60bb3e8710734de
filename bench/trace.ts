import { type Random, SeededRandom } from '../src/base/index.js'

/** A request class of the workload, with its latency targets and mean sizes. */
export interface RequestClass {
  readonly name: string
  readonly tier: number
  /** Target for the time to the first token, in milliseconds. */
  readonly startWithinMs: number
  /** Target for the time to the last token, in milliseconds. */
  readonly finishWithinMs: number
  /** Mean number of prompt tokens. */
  readonly promptTokens: number
  /** Mean number of output tokens. */
  readonly outputTokens: number
  /** Share of all requests, from 0 to 1. */
  readonly share: number
}

/** The request classes of the specified workload. An affidavit is a hundred times longer than a tag. */
export const REQUEST_CLASSES: readonly RequestClass[] = [
  {
    name: 'affidavit',
    tier: 1,
    startWithinMs: 2_000,
    finishWithinMs: 60_000,
    promptTokens: 1_500,
    outputTokens: 900,
    share: 0.04
  },
  {
    name: 'fault-report',
    tier: 1,
    startWithinMs: 2_000,
    finishWithinMs: 30_000,
    promptTokens: 400,
    outputTokens: 250,
    share: 0.08
  },
  {
    name: 'chat',
    tier: 2,
    startWithinMs: 630,
    finishWithinMs: 15_000,
    promptTokens: 300,
    outputTokens: 120,
    share: 0.33
  },
  {
    name: 'summary',
    tier: 3,
    startWithinMs: 3_000,
    finishWithinMs: 20_000,
    promptTokens: 1_200,
    outputTokens: 60,
    share: 0.3
  },
  {
    name: 'tag',
    tier: 4,
    startWithinMs: 10_000,
    finishWithinMs: 60_000,
    promptTokens: 150,
    outputTokens: 9,
    share: 0.25
  }
]

/** Organisations with their shares of the requests; two of them send most. */
const ORGANISATIONS = [
  { name: 'large-1', share: 0.4 },
  { name: 'large-2', share: 0.3 },
  { name: 'small-1', share: 0.1 },
  { name: 'small-2', share: 0.1 },
  { name: 'small-3', share: 0.1 }
]

/** A request of a trace. */
export interface TraceRequest {
  readonly id: string
  /** Virtual time of arrival, in milliseconds. */
  readonly arrivedAt: number
  readonly requestClass: RequestClass
  readonly organisation: string
  readonly promptTokens: number
  /** Number of output tokens of the complete answer; not known to the policies. */
  readonly outputTokens: number
}

function sampleByShare<Item extends { readonly share: number }> (items: readonly Item[], random: Random): Item {
  let remainder = random.next()
  for (const item of items) {
    remainder -= item.share
    if (remainder < 0) return item
  }
  return items[items.length - 1]!
}

/**
 * Draws a number of tokens, at least 1, from a log-uniform distribution between
 * half and twice the mean. The factor 0.92 corrects its mean, which would be too high.
 */
function sampleTokens (mean: number, random: Random): number {
  return Math.max(1, Math.round(mean * 2 ** (2 * random.next() - 1) * 0.92))
}

/** Parameters of a trace. */
export interface TraceSpec {
  readonly seed: number
  /** Time in which requests arrive, in seconds. */
  readonly durationS: number
  readonly requestsPerSecond: number
  /** Share of the highest tier's requests that are kept, from 0 to 1; all if absent. */
  readonly topTierShare?: number
  /** Additional requests of one organisation during part of the trace. */
  readonly burst?: {
    readonly organisation: string
    readonly fromS: number
    readonly toS: number
    /** Rate of the additional requests, as a multiple of a small organisation's rate. */
    readonly multiplier: number
  }
}

/**
 * Generates a trace with Poisson arrivals. The same parameters give the same trace.
 *
 * @param spec - parameters of the trace
 * @returns the requests, in order of arrival
 */
export function makeTrace (spec: TraceSpec): TraceRequest[] {
  const random = new SeededRandom(spec.seed)
  const requests: TraceRequest[] = []
  const addRequest = (arrivedAt: number, organisation: string): void => {
    const requestClass = sampleByShare(REQUEST_CLASSES, random)
    const [promptTokens, outputTokens] =
      [sampleTokens(requestClass.promptTokens, random), sampleTokens(requestClass.outputTokens, random)]
    requests.push({ id: `r${requests.length}`, arrivedAt, requestClass, organisation, promptTokens, outputTokens })
  }
  const endMs = spec.durationS * 1_000
  for (let at = 0; at < endMs;) {
    at += -Math.log(1 - random.next()) * 1_000 / spec.requestsPerSecond
    addRequest(at, sampleByShare(ORGANISATIONS, random).name)
  }
  const { burst } = spec
  if (burst !== undefined) {
    const burstPerSecond = spec.requestsPerSecond * 0.1 * burst.multiplier
    for (let at = burst.fromS * 1_000; at < burst.toS * 1_000;) {
      at += -Math.log(1 - random.next()) * 1_000 / burstPerSecond
      addRequest(at, burst.organisation)
    }
  }
  const kept = requests.filter(request => request.requestClass.tier > 1 || random.next() < (spec.topTierShare ?? 1))
  return kept.sort((a, b) => a.arrivedAt - b.arrivedAt)
}

/** Mean numbers of output and prompt tokens over all requests of the workload. */
export const MEAN_REQUEST = {
  outputTokens: REQUEST_CLASSES.reduce((sum, each) => sum + each.share * each.outputTokens, 0),
  promptTokens: REQUEST_CLASSES.reduce((sum, each) => sum + each.share * each.promptTokens, 0)
}
