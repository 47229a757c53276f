package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// span is one span in a daemon's trace file. It is encoded and decoded under the
// names of its fields.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []spanAttribute
	// File is the trace file that contains the span.
	File string
}

type spanAttribute struct {
	Key   string
	Value struct{ Value any }
}

func traceCommand(e *commandEnv) *cobra.Command {
	return &cobra.Command{
		Use:     "trace ID FILE...",
		Short:   "Show the spans of one request from the trace files of daemons",
		Long:    "Show the spans of one request, selected by the trace id of its traceparent header,\nfrom the trace files of the daemons that handled the request.",
		Example: "  balsamctl trace 0af7651916cd43dd8448eb211c80319c entry-vt-a.spans entry-me-a.spans",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var spans []span
			for _, file := range args[1:] {
				found, err := readSpans(file, args[0])
				if err != nil {
					return err
				}
				spans = append(spans, found...)
			}
			if len(spans) == 0 {
				return errors.Wrapf(ErrBadUsage, "no file contains a span of trace %s", args[0])
			}
			slices.SortFunc(spans, func(x, y span) int { return x.StartTime.Compare(y.StartTime) })
			return e.printOutput(spans, func(out io.Writer) error { return printSpans(out, spans) })
		},
	}
}

func readSpans(file, traceID string) ([]span, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(ErrBadUsage, err.Error())
	}
	defer func() { _ = f.Close() }()
	var spans []span
	for decoder := json.NewDecoder(f); ; {
		s := span{File: file}
		err := decoder.Decode(&s)
		if errors.Is(err, io.EOF) {
			return spans, nil
		}
		if err != nil {
			return nil, errors.Wrapf(ErrBadUsage, "%s: %v", file, err)
		}
		if s.SpanContext.TraceID == traceID {
			spans = append(spans, s)
		}
	}
}

// printSpans prints the spans as a tree, ordered by start time.
func printSpans(out io.Writer, spans []span) error {
	start := spans[0].StartTime
	depths := map[string]int{}
	for _, s := range spans {
		depth, hasParent := depths[s.Parent.SpanID]
		if hasParent {
			depth++
		}
		depths[s.SpanContext.SpanID] = depth
		_, err := fmt.Fprintf(out, "%s%s  +%v  %v  %s  %s\n", strings.Repeat("  ", depth), s.Name,
			s.StartTime.Sub(start).Round(time.Microsecond), s.EndTime.Sub(s.StartTime).Round(time.Microsecond),
			formatAttributes(s), s.File)
		if err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

func formatAttributes(s span) string {
	var parts []string
	for _, a := range s.Attributes {
		parts = append(parts, fmt.Sprintf("%s=%v", a.Key, a.Value.Value))
	}
	return strings.Join(parts, " ")
}
