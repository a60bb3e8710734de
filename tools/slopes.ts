/**
 * Measures the memory and time that each part of the control state costs a host,
 * at several sizes, and fits a line to each: slope, offset and spread, for
 * docs/CAPACITY.md. Runs in one process.
 */
import { performance } from 'node:perf_hooks'
import { AdmissionController, type Job } from '../src/admission/index.js'
import { Ranking } from '../src/base/index.js'
import { type ChangeStep, Configuration } from '../src/config/index.js'
import { EventSplitter, parseEvent } from '../src/engine/index.js'
import { FailureDetector, type Member, MembershipView, Phase } from '../src/member/index.js'
import { type KeyRecord, RecordStore } from '../src/record/index.js'
import { formatTable } from '../src/cli/table.js'

const RETENTION_MS = 900_000
const ROUNDS = 5

interface Point {
  readonly size: number
  readonly value: number
}

interface LineFit {
  readonly slope: number
  readonly offset: number
  /** Largest distance of a point from the line, as a fraction of its value. */
  readonly spread: number
}

/** Fits a line by least squares. */
function fitLine (points: readonly Point[]): LineFit {
  const n = points.length
  const meanX = points.reduce((sum, point) => sum + point.size, 0) / n
  const meanY = points.reduce((sum, point) => sum + point.value, 0) / n
  const covariance = points.reduce((sum, point) => sum + (point.size - meanX) * (point.value - meanY), 0)
  const slope = covariance / points.reduce((sum, point) => sum + (point.size - meanX) ** 2, 0)
  const offset = meanY - slope * meanX
  const spread = Math.max(...points.map(point =>
    Math.abs(point.value - offset - slope * point.size) / Math.max(Math.abs(point.value), 1e-9)))
  return { slope, offset, spread }
}

function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!
}

/** Measures the heap that a value occupies, in bytes. */
function heapBytesOf (build: () => unknown): number {
  global.gc!()
  const bytesBefore = process.memoryUsage().heapUsed
  const built = build()
  global.gc!()
  const bytes = process.memoryUsage().heapUsed - bytesBefore
  if (built === undefined) throw new Error('the measured function returned no value')
  return bytes
}

/** Measures the time of one call, in microseconds: the median over several rounds. */
function microsPerCall (calls: number, run: (i: number) => void): number {
  const microsByRound = Array.from({ length: ROUNDS }, () => {
    const startedAt = performance.now()
    for (let i = 0; i < calls; i++) run(i)
    return (performance.now() - startedAt) * 1_000 / calls
  })
  return median(microsByRound)
}

function memberOf (i: number): Member {
  const id = `host-${i}.0195f1d2-0000-7000-8000-${String(i).padStart(12, '0')}`
  const address = `10.0.0.1:${i}`
  const dataCentre = `dc-${i % 9}`
  return { id, host: `host-${i}`, dataCentre, peerAddress: address, callerAddress: address, phase: Phase.live }
}

function viewOf (size: number): MembershipView {
  let view = MembershipView.empty
  for (let i = 0; i < size; i++) {
    const entry = { step: 'join', member: memberOf(i), id: `j${i}`, by: 'x', at: i * 60_000 } as const
    view = view.apply({ revision: i + 1, entry }, RETENTION_MS)
  }
  return view
}

function recordOf (i: number): KeyRecord {
  const location = { server: `engine-${i % 6_400}`, responseId: `resp_${'x'.repeat(40)}${i}`, attempt: 1_700_000_000_000 + i }
  return {
    key: `organisation-${i % 3_200}/0195f1d2-0000-7000-8000-${String(i).padStart(12, '0')}`,
    fingerprint: `${i}`.padStart(64, 'f'),
    opened: 1_700_000_000_000 + i,
    barred: 0,
    closed: 0,
    place: location,
    withdrawn: [],
    at: 1_700_000_000_000 + i
  }
}

function configurationWithOrganisations (organisations: number): Configuration {
  const steps = Array.from({ length: organisations }, (_, i): ChangeStep => ({
    step: 'put', section: 'organisations', item: { name: `organisation-${i}`, keyHashes: [`${i}`.padStart(64, '0')] }
  }))
  return Configuration.empty.apply(steps)._unsafeUnwrap()
}

function configurationWithServers (count: number): Configuration {
  const steps = Array.from({ length: count }, (_, i): ChangeStep => ({
    step: 'put',
    section: 'servers',
    item: {
      name: `engine-${i}`,
      kind: 'engine',
      address: `http://10.0.0.1:${i}`,
      dataCentre: `dc-${i % 9}`,
      models: [`model-${i % 4}`],
      service: undefined,
      checksFencing: true,
      draining: false
    }
  }))
  return Configuration.empty.apply(steps)._unsafeUnwrap()
}

function jobOf (i: number): Job {
  return {
    id: `job-${i}`,
    tier: 1 + i % 4,
    preemptionOrder: 0,
    organisation: `organisation-${i % 50}`,
    className: 'c',
    arrivedAt: 0,
    startBy: 10_000_000 + i,
    finishBy: 90_000_000,
    promptTokens: 300,
    outputTokens: 100
  }
}

function admissionOf (size: number): AdmissionController {
  const admission = new AdmissionController()
  for (let i = 0; i < size; i++) admission.submit(jobOf(i), 0)
  return admission
}

const HOST_COUNTS = [50, 200, 600, 1_800]
const KEY_COUNTS = [1_000, 5_000, 20_000]
const rows: string[][] = []

/** Adds a measurement and its fitted line to the table. */
function addRow (label: string, unit: string, points: readonly Point[]): void {
  const { slope, offset, spread } = fitLine(points)
  rows.push([label, points.map(point => `${point.size}: ${point.value.toFixed(2)}`).join('  '), unit,
    slope.toPrecision(3), offset.toPrecision(3), `${(spread * 100).toFixed(0)}%`])
}

function measureSizes (sizes: readonly number[], value: (size: number) => number): Point[] {
  return sizes.map(size => ({ size, value: value(size) }))
}

addRow('view, memory by hosts', 'KB', measureSizes(HOST_COUNTS, size => heapBytesOf(() => viewOf(size)) / 1_024))
addRow('applying one entry, by hosts', 'us', measureSizes(HOST_COUNTS, size => {
  const view = viewOf(size)
  const entry = { step: 'join', member: memberOf(9_999), id: 'x', by: 'x', at: 0 } as const
  return microsPerCall(20, () => view.apply({ revision: size + 1, entry }, RETENTION_MS))
}))
addRow('replicas of a key, by hosts', 'us', measureSizes(HOST_COUNTS, size => {
  const view = viewOf(size)
  return microsPerCall(500, i => view.replicas(`key-${i}`))
}))
addRow('owners of 6,400 servers, by hosts', 'us', measureSizes(HOST_COUNTS, size => {
  const view = viewOf(size)
  return microsPerCall(1, () => { for (let i = 0; i < 6_400; i++) view.ownerOf(`engine-${i}`) })
}))
addRow('one round of failure detection, by hosts', 'us', measureSizes(HOST_COUNTS, size => {
  const view = viewOf(size)
  const detector = new FailureDetector(() => memberOf(0).id)
  detector.updateView(view, 0)
  return microsPerCall(500, () => detector.nextProbes(100))
}))
addRow('idempotency records, memory by keys', 'KB', measureSizes(KEY_COUNTS, size => heapBytesOf(() => {
  const recordStore = new RecordStore(RETENTION_MS)
  for (let i = 0; i < size; i++) recordStore.set(recordOf(i))
  return recordStore
}) / 1_024))
addRow('configuration, memory by organisations', 'KB', measureSizes([100, 800, 3_200], size =>
  heapBytesOf(() => configurationWithOrganisations(size)) / 1_024))
addRow('configuration, memory by servers', 'KB', measureSizes([100, 1_600, 6_400], size => heapBytesOf(() => configurationWithServers(size)) / 1_024))
addRow('one change, by organisations', 'us', measureSizes([100, 800, 3_200], size => {
  const configuration = configurationWithOrganisations(size)
  const steps: ChangeStep[] = [{ step: 'put', section: 'organisations', item: { name: 'new', keyHashes: ['0'] } }]
  return microsPerCall(20, () => configuration.apply(steps))
}))
addRow('forecast, by queued jobs', 'us', measureSizes([4, 400, 4_000], size => {
  const admission = admissionOf(size)
  return microsPerCall(500, i => admission.forecast(jobOf(i), 0))
}))
addRow('push and remove, by queued jobs', 'us', measureSizes([4, 400, 4_000], size => {
  const admission = admissionOf(size)
  return microsPerCall(500, i => {
    admission.submit(jobOf(1_000_000 + i), 0)
    admission.remove(`job-${1_000_000 + i}`, 0)
  })
}))
addRow('ranking ids, by ids', 'us', measureSizes(HOST_COUNTS, size => {
  const ranking = new Ranking(Array.from({ length: size }, (_, i) => `h${i}`))
  return microsPerCall(500, i => ranking.top(`key-${i}`, 2))
}))
const event = Buffer.from('event: response.output_text.delta\ndata: {"type":"response.output_text.delta",' +
  '"item_id":"msg_resp_1","output_index":0,"delta":"word ","sequence_number":17}\n\n')
addRow('splitting and reading events, by events', 'us', measureSizes([100, 1_000, 10_000], size => {
  const splitter = new EventSplitter(1 << 20)
  return microsPerCall(1, () => { for (let i = 0; i < size; i++) splitter.push(event)!.forEach(parseEvent) })
}))

process.stdout.write(`${formatTable(['WHAT', 'MEASURED', 'UNIT', 'SLOPE', 'OFFSET', 'SPREAD'], rows)}\n`)
