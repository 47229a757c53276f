package front

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"balsambarrow/internal/place"
	"balsambarrow/internal/telemetry"
)

// spans writes a span for each hop of a request. Without a tracer it does
// nothing, so that hosts that trace nothing pay nothing.
type spans struct{ tracer trace.Tracer }

// entry begins the span of this host, under that of the caller.
func (s spans) entry(r *http.Request, id string) (*http.Request, func()) {
	if s.tracer == nil {
		return r, func() {}
	}
	ctx, span := s.tracer.Start(telemetry.Extract(r.Context(), r.Header), "entry")
	span.SetAttributes(attribute.String("request", id))
	return r.WithContext(ctx), func() { span.End() }
}

// upstream begins the span of one send and tells the upstream of it.
func (s spans) upstream(ctx context.Context, h http.Header, c place.Choice) func(outcome) {
	if s.tracer == nil {
		return func(outcome) {}
	}
	ctx, span := s.tracer.Start(ctx, "upstream")
	span.SetAttributes(attribute.String("upstream", c.ID), attribute.String("zone", c.Zone))
	telemetry.Inject(ctx, h)
	return func(end outcome) {
		span.SetAttributes(attribute.String("outcome", end.String()))
		span.End()
	}
}

// String is the outcome's name in spans.
func (o outcome) String() string {
	names := [...]string{done: "answered", unsent: "unsent", shed: "shed", failed: "failed", lost: "lost", late: "late"}
	return names[o]
}
