import type { Server } from 'node:http'
import { createAdaptorServer, type HttpBindings } from '@hono/node-server'
import { Hono } from 'hono'
import { type AdminContext, createAdminRoutes } from '../admin/index.js'
import { type EntryContext, RequestFilter, ResponseRoutes, ServiceRoutes } from '../entry/index.js'
import type { Settings } from '../settings/index.js'

const UNAVAILABLE = 503
const NOT_FOUND = 404
const INTERNAL_ERROR = 500

/** The HTTP server of a host, for callers, operators and the load balancer's health checks. */
export class HostHttpServer {
  readonly requestFilter: RequestFilter
  private readonly server: Server

  /**
   * @param settings - the address to listen on and the limits
   * @param context - the context of the HTTP routes for callers
   * @param admin - the context of the administration API
   * @param isReady - returns whether the load balancer may send new requests
   */
  constructor (
    private readonly settings: Settings, context: EntryContext, admin: AdminContext, isReady: () => boolean
  ) {
    this.requestFilter = new RequestFilter(context)
    const app = this.routes(context, admin, isReady)
    const { limits } = settings
    this.server = createAdaptorServer({
      fetch: app.fetch,
      serverOptions: {
        maxHeaderSize: limits.header_bytes,
        keepAliveTimeout: limits.idle,
        headersTimeout: limits.idle,
        requestTimeout: limits.idle
      }
    }) as Server
    this.server.maxConnections = limits.connections
  }

  /** @returns the port that the server listens on; rejects if it can't listen */
  listen (): Promise<number> {
    const { ip, port } = this.settings.listen
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, ip, () => {
        const address = this.server.address()
        resolve(address !== null && typeof address === 'object' ? address.port : port)
      })
    })
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private routes (
    context: EntryContext, admin: AdminContext, isReady: () => boolean
  ): Hono<{ Bindings: HttpBindings }> {
    const app = new Hono<{ Bindings: HttpBindings }>()
    app.get('/healthz', c => c.text('alive\n'))
    app.get('/readyz', c => isReady() ? c.text('ready\n') : c.text('not ready\n', UNAVAILABLE))
    app.use('/v1/*', this.requestFilter.middleware())
    app.use('/services/*', this.requestFilter.middleware())
    app.route('/v1/responses', new ResponseRoutes(context, this.requestFilter).routes())
    app.route('/services', new ServiceRoutes(context, this.requestFilter).routes())
    app.route('/admin', createAdminRoutes(admin))
    app.notFound(c => c.json({ title: 'not found', status: NOT_FOUND, detail: c.req.path }, NOT_FOUND))
    app.onError((thrown, c) => {
      context.log.error({ err: thrown }, 'unhandled error in an HTTP route')
      return c.json({ title: 'internal error', status: INTERNAL_ERROR, outcome: 'unknown' }, INTERNAL_ERROR)
    })
    return app
  }
}
