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

// hop is one span of a daemon's trace file.
type hop struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []hopAttribute
	// File is the trace file that holds it.
	File string
}

type hopAttribute struct {
	Key   string
	Value struct{ Value any }
}

func traceCommand(e *env) *cobra.Command {
	return &cobra.Command{
		Use:     "trace ID FILE...",
		Short:   "Show the hops of one request from daemons' trace files",
		Long:    "Shows the hops of one request, by the trace id of its traceparent, from the trace files\nof the daemons that it crossed.",
		Example: "  balsamctl trace 0af7651916cd43dd8448eb211c80319c entry-vt-a.spans entry-me-a.spans",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var hops []hop
			for _, file := range args[1:] {
				found, err := readHops(file, args[0])
				if err != nil {
					return err
				}
				hops = append(hops, found...)
			}
			if len(hops) == 0 {
				return errors.Wrapf(ErrBadUsage, "no file holds a span of trace %s", args[0])
			}
			slices.SortFunc(hops, func(x, y hop) int { return x.StartTime.Compare(y.StartTime) })
			return e.show(hops, func(out io.Writer) error { return printHops(out, hops) })
		},
	}
}

func readHops(file, trace string) ([]hop, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(ErrBadUsage, err.Error())
	}
	defer func() { _ = f.Close() }()
	var hops []hop
	for decoder := json.NewDecoder(f); ; {
		h := hop{File: file}
		err := decoder.Decode(&h)
		if errors.Is(err, io.EOF) {
			return hops, nil
		}
		if err != nil {
			return nil, errors.Wrapf(ErrBadUsage, "%s: %v", file, err)
		}
		if h.SpanContext.TraceID == trace {
			hops = append(hops, h)
		}
	}
}

// printHops prints the hops as a tree, in the order of their start.
func printHops(out io.Writer, hops []hop) error {
	begin := hops[0].StartTime
	depth := map[string]int{}
	for _, h := range hops {
		level, nested := depth[h.Parent.SpanID]
		if nested {
			level++
		}
		depth[h.SpanContext.SpanID] = level
		_, err := fmt.Fprintf(out, "%s%s  +%v  %v  %s  %s\n", strings.Repeat("  ", level), h.Name,
			h.StartTime.Sub(begin).Round(time.Microsecond), h.EndTime.Sub(h.StartTime).Round(time.Microsecond),
			attributes(h), h.File)
		if err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

func attributes(h hop) string {
	var parts []string
	for _, a := range h.Attributes {
		parts = append(parts, fmt.Sprintf("%s=%v", a.Key, a.Value.Value))
	}
	return strings.Join(parts, " ")
}
