import {
  type Context,
  context,
  defaultTextMapGetter,
  defaultTextMapSetter,
  type Span,
  SpanStatusCode,
  trace,
} from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  type SpanProcessor,
} from '@opentelemetry/sdk-trace-base'
import type { ResolvedSettings } from '../settings/settingsSchema.js'

/** Stages of a request; the values are span names. */
export enum Hop {
  Accept = 'accept',
  Queue = 'queue',
  Decide = 'decide',
  Peer = 'peer',
  Claim = 'claim',
  Target = 'target',
  Resume = 'resume',
}

/** Attributes of a span. */
export type SpanAttributes = Record<string, string | number | boolean>

/** A span that has not ended. */
export interface HopSpan {
  /** Context with this span, the parent of further spans. */
  readonly context: Context
  setAttributes(fields: SpanAttributes): void
  /** Ends the span; a message marks it as failed. */
  end(failure?: string): void
}

/** Creates spans and propagates trace contexts. */
export interface Tracing {
  /** Reads the caller's trace context from request headers. */
  extract(headers: Record<string, unknown>): Context
  /** Returns the headers that propagate a trace context. */
  inject(parent: Context): Record<string, string>
  /** Starts a span as a child of `parent`. */
  startSpan(hop: Hop, parent: Context, fields?: SpanAttributes): HopSpan
  /** Exports the ended spans and shuts down. */
  close(): Promise<void>
}

function createHopSpan(span: Span, parent: Context): HopSpan {
  return {
    context: trace.setSpan(parent, span),
    setAttributes: (fields) => {
      span.setAttributes(fields)
    },
    end: (failure) => {
      if (failure !== undefined)
        span.setStatus({ code: SpanStatusCode.ERROR, message: failure })
      span.end()
    },
  }
}

/**
 * Creates tracing that exports over OTLP, or only propagates contexts when no
 * endpoint is set.
 */
export function createTracing(
  settings: ResolvedSettings,
  extraProcessors: SpanProcessor[] = [],
): Tracing {
  const exporters = settings.traces
    ? [new BatchSpanProcessor(new OTLPTraceExporter(settings.traces))]
    : []
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': 'auburnbay',
      'service.instance.id': settings.router.id,
    }),
    spanProcessors: [...exporters, ...extraProcessors],
  })
  const tracer = provider.getTracer('auburnbay')
  const propagator = new W3CTraceContextPropagator()
  return {
    extract: (headers) =>
      propagator.extract(context.active(), headers, defaultTextMapGetter),
    inject: (parent) => {
      const carrier: Record<string, string> = {}
      propagator.inject(parent, carrier, defaultTextMapSetter)
      return carrier
    },
    startSpan: (hop, parent, fields = {}) =>
      createHopSpan(
        tracer.startSpan(hop, { attributes: fields }, parent),
        parent,
      ),
    close: () => provider.shutdown(),
  }
}
