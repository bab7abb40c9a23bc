package telemetry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
)

// SpanEvent is the event name of a log line that describes a span.
const SpanEvent = "span"

// Limits on the resources of spans. With these a full queue takes a few
// megabytes at most.
const (
	spanQueueCapacity = 2048 // in spans
	maxSpanBatch      = 256
	maxSpanDelay      = time.Second // how long a span may be queued
	spanWriteTimeout  = 5 * time.Second
	maxSpanAttributes = 32
	maxSpanEvents     = 8
	maxSpanLinks      = 4
	maxAttributeRunes = 256
)

const (
	traceIDKey    = "trace_id"
	spanIDKey     = "span_id"
	parentIDKey   = "parent_id"
	nameKey       = "name"
	serviceKey    = "service"
	durationKey   = "duration_ms"
	errorKey      = "error"
	startKey      = "start"
	attrKeyPrefix = "attr."
)

// reservedKeys are the keys of a span line. An attribute with such a name gets
// attrKeyPrefix, so that no line contains a key twice.
var reservedKeys = []string{
	TimeKey, LevelKey, EventKey, traceIDKey, spanIDKey, parentIDKey, nameKey,
	serviceKey, durationKey, errorKey, startKey,
}

// Tracer starts the spans of a process and writes the ended ones in batches, in
// the background. When spans end faster than they are written, the queue drops
// the newest; ending a span never blocks.
type Tracer struct {
	trace.Tracer

	provider *sdktrace.TracerProvider // nil if spans are disabled
	ended    atomic.Uint64
	written  atomic.Uint64
}

// SpanStats counts the spans of a process since its start.
type SpanStats struct {
	// Ended counts the sampled spans that ended.
	Ended uint64
	// Written counts those that were logged. The others are queued or were
	// dropped; after Shutdown, they were dropped.
	Written uint64
}

// NewTracer returns a tracer that writes one log line per span at level info:
// trace_id, span_id, parent_id, name, service, start, duration_ms, error and
// the attributes. A span is sampled unless its parent was not sampled. A nil
// logger, or one that drops events of level info, disables spans: nothing is
// recorded, but an incoming trace context is still propagated.
//
// The caller ends it with Shutdown, after the last span.
func NewTracer(service string, logger *zap.Logger) *Tracer {
	if logger == nil || !logger.Core().Enabled(zap.InfoLevel) {
		return &Tracer{Tracer: noop.NewTracerProvider().Tracer(service)}
	}
	t := &Tracer{}
	exporter := &lineExporter{logger: logger, service: service, written: &t.written}
	queue := sdktrace.NewBatchSpanProcessor(exporter,
		sdktrace.WithMaxQueueSize(spanQueueCapacity),
		sdktrace.WithMaxExportBatchSize(maxSpanBatch),
		sdktrace.WithBatchTimeout(maxSpanDelay),
		sdktrace.WithExportTimeout(spanWriteTimeout),
	)
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.AlwaysSample())),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", service))),
		sdktrace.WithRawSpanLimits(spanLimits()),
		sdktrace.WithSpanProcessor(countingProcessor{SpanProcessor: queue, ended: &t.ended}),
	)
	t.Tracer = t.provider.Tracer(service)
	return t
}

func spanLimits() sdktrace.SpanLimits {
	limits := sdktrace.NewSpanLimits()
	limits.AttributeValueLengthLimit = maxAttributeRunes
	limits.AttributeCountLimit = maxSpanAttributes
	limits.EventCountLimit = maxSpanEvents
	limits.LinkCountLimit = maxSpanLinks
	return limits
}

// Stats returns the current counts.
func (t *Tracer) Stats() SpanStats {
	return SpanStats{Ended: t.ended.Load(), Written: t.written.Load()}
}

// Shutdown writes the queued spans and stops. It fails with failure.Timeout if
// ctx ends first.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	if err := t.provider.Shutdown(ctx); err != nil {
		return failure.Timeout.Wrap(err, "spans are left unwritten")
	}
	return nil
}

// countingProcessor counts the ended spans before they are queued, since the
// queue does not report how many it drops.
type countingProcessor struct {
	sdktrace.SpanProcessor
	ended *atomic.Uint64
}

// OnEnd implements sdktrace.SpanProcessor.
func (p countingProcessor) OnEnd(span sdktrace.ReadOnlySpan) {
	if span.SpanContext().IsSampled() {
		p.ended.Add(1)
	}
	p.SpanProcessor.OnEnd(span)
}

// lineExporter writes spans as log lines.
type lineExporter struct {
	logger  *zap.Logger
	service string
	written *atomic.Uint64
}

// ExportSpans implements sdktrace.SpanExporter.
func (e *lineExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, span := range spans {
		if ctx.Err() != nil {
			// Stats shows the rest as not written. An error returned here would
			// go to the library's own log, which is not in key=value format.
			return nil
		}
		e.logger.Info(SpanEvent, e.fields(span)...)
		e.written.Add(1)
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (e *lineExporter) Shutdown(context.Context) error { return nil }

func (e *lineExporter) fields(span sdktrace.ReadOnlySpan) []zap.Field {
	duration := span.EndTime().Sub(span.StartTime())
	fields := []zap.Field{
		zap.String(traceIDKey, span.SpanContext().TraceID().String()),
		zap.String(spanIDKey, span.SpanContext().SpanID().String()),
		zap.String(parentIDKey, parentID(span)),
		zap.String(nameKey, span.Name()),
		zap.String(serviceKey, e.service),
		zap.Time(startKey, span.StartTime()),
		zap.Float64(durationKey, float64(duration.Microseconds())/1000),
	}
	if status := span.Status(); status.Code == codes.Error {
		fields = append(fields, zap.String(errorKey, status.Description))
	}
	for _, attr := range span.Attributes() {
		fields = append(fields, zap.String(attributeKey(attr.Key), attr.Value.String()))
	}
	return fields
}

// parentID returns the ID of the parent span, "" for the root of a trace.
func parentID(span sdktrace.ReadOnlySpan) string {
	if !span.Parent().SpanID().IsValid() {
		return ""
	}
	return span.Parent().SpanID().String()
}

func attributeKey(key attribute.Key) string {
	if slices.Contains(reservedKeys, string(key)) {
		return attrKeyPrefix + string(key)
	}
	return string(key)
}

// traceparentKey is the header name of the span context in W3C Trace Context.
const traceparentKey = "traceparent"

// Inject returns the W3C traceparent of the span in ctx, "" if there is none.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// Extract returns ctx with the remote span of a W3C traceparent, and ctx itself
// if the text is empty or invalid.
func Extract(ctx context.Context, traceparent string) context.Context {
	carrier := propagation.MapCarrier{traceparentKey: traceparent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}
