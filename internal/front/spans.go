package front

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"balsambarrow/internal/place"
	"balsambarrow/internal/telemetry"
)

// hopTracer creates a span for each hop of a request. Without a tracer its
// methods do nothing, so that tracing has no cost on hosts that do not use it.
type hopTracer struct{ tracer trace.Tracer }

// startEntry starts the span of this host as a child of the caller's span.
func (t hopTracer) startEntry(r *http.Request, id string) (*http.Request, func()) {
	if t.tracer == nil {
		return r, func() {}
	}
	ctx, span := t.tracer.Start(telemetry.Extract(r.Context(), r.Header), "entry")
	span.SetAttributes(attribute.String("request", id))
	return r.WithContext(ctx), func() { span.End() }
}

// startUpstream starts the span of one attempt and propagates its context to
// the upstream in the request headers.
func (t hopTracer) startUpstream(ctx context.Context, h http.Header, c place.Choice) func(end outcome, relay string) {
	if t.tracer == nil {
		return func(outcome, string) {}
	}
	ctx, span := t.tracer.Start(ctx, "upstream")
	span.SetAttributes(attribute.String("upstream", c.ID), attribute.String("zone", c.Zone))
	telemetry.Inject(ctx, h)
	return func(end outcome, relay string) {
		span.SetAttributes(attribute.String("outcome", end.String()))
		if relay != "" {
			span.SetAttributes(attribute.String("relay", relay))
		}
		span.End()
	}
}

// String returns the name of the outcome used in spans.
func (o outcome) String() string {
	names := [...]string{
		outcomeAnswered: "answered", outcomeUnsent: "unsent", outcomeShed: "shed",
		outcomeFailed: "failed", outcomeLost: "lost", outcomeTimedOut: "late",
	}
	return names[o]
}
