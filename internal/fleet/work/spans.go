package work

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"sumacloft/internal/decide/ledger"
)

// Spans traces requests over the routers that they live in. Its zero value traces nothing.
type Spans struct {
	tracer trace.Tracer
	router string
}

// NewSpans writes spans to a file, as JSON; close ends that.
func NewSpans(path, router string) (Spans, func() error, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Spans{}, nil, err
	}
	out, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return Spans{}, nil, errors.Join(err, f.Close())
	}
	p := sdk.NewTracerProvider(sdk.WithSyncer(out)) // a router that is killed leaves what it had ended
	return Spans{p.Tracer("sumacloft/work"), router}, func() error { return errors.Join(p.Shutdown(context.Background()), f.Close()) }, nil
}

func (s Spans) start(ctx context.Context, name string, rec ledger.Record) trace.Span {
	if s.tracer == nil {
		return noop.Span{}
	}
	_, span := s.tracer.Start(ctx, name, trace.WithAttributes(attribute.String("router", s.router), attribute.String("key", rec.Key),
		attribute.String("class", rec.Class), attribute.Int64("epoch", rec.Epoch)))
	return span
}

// Taken marks that a request was taken here, begins the span of its life here, and gives what its record names the
// trace by.
func (s Spans) Taken(rec ledger.Record) (trace.Span, string) {
	mark := s.start(context.Background(), "taken", rec)
	mark.End() // written at once: this router may not live to see the request's end
	c := mark.SpanContext()
	if !c.IsValid() {
		return mark, ""
	}
	rec.Trace = c.TraceID().String() + "-" + c.SpanID().String()
	return s.start(parent(rec), "request", rec), rec.Trace
}

// Resumed begins the span of a request that goes on here, in the trace in which it was taken.
func (s Spans) Resumed(rec ledger.Record) trace.Span { return s.start(parent(rec), "resumed", rec) }

func (s Spans) takeover(rec ledger.Record, v ledger.Recovery) trace.Span {
	span := s.start(parent(rec), "takeover", rec)
	span.SetAttributes(attribute.String("verdict", fmt.Sprint(v)), attribute.String("from", rec.Owner.Name), attribute.String("step", rec.Step.String()))
	return span
}

// parent is the context of the span in which a record was taken.
func parent(rec ledger.Record) context.Context {
	of, in, _ := strings.Cut(rec.Trace, "-")
	t, err := trace.TraceIDFromHex(of)
	if err != nil {
		return context.Background()
	}
	s, err := trace.SpanIDFromHex(in)
	if err != nil {
		return context.Background()
	}
	return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{TraceID: t, SpanID: s, TraceFlags: trace.FlagsSampled, Remote: true}))
}
