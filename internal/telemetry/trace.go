package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Propagation propagates the trace context between hops in traceparent headers.
var Propagation = propagation.TraceContext{}

// Tracing owns a daemon's tracer.
type Tracing struct {
	Tracer   trace.Tracer
	provider *sdk.TracerProvider
	file     io.Closer
}

// NewTracing returns a tracer that appends spans to the file at path, as JSON with one
// span per line. "-" means standard output, and "" disables tracing.
func NewTracing(path string) (*Tracing, error) {
	if path == "" {
		return &Tracing{Tracer: noop.NewTracerProvider().Tracer("balsambarrow")}, nil
	}
	out := os.Stdout
	if path != "-" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "open trace file")
		}
		out = f
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, errors.Wrap(err, "create span exporter")
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter))
	return &Tracing{Tracer: provider.Tracer("balsambarrow"), provider: provider, file: out}, nil
}

// Close writes the remaining spans and closes the trace file.
func (t *Tracing) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != os.Stdout {
		_ = t.file.Close()
	}
	return err
}

// Inject writes the span context of ctx into the headers sent to the next hop.
func Inject(ctx context.Context, h http.Header) {
	Propagation.Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract returns ctx with the span context of the previous hop, read from its headers.
func Extract(ctx context.Context, h http.Header) context.Context {
	return Propagation.Extract(ctx, propagation.HeaderCarrier(h))
}
