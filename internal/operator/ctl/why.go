package ctl

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// field is one key=value pair of a log line, in the order of the line.
type field struct{ Key, Value string }

// event is one line of an entry host's log.
type event struct {
	At     time.Time `json:"at"`
	Host   string    `json:"host"`
	Kind   string    `json:"kind"`
	Fields []field   `json:"fields"`
	// Belief holds, for a line about the request, the latest lines before it
	// that say what its host believed.
	Belief []event `json:"belief,omitempty"`
}

func (e *event) value(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// beliefs are the kinds of line that say what a host believes. Of each kind, and
// of each pair that excludes the other, the latest counts.
var beliefs = map[string]string{
	"configuration in force": "configuration", "store lost": "store", "store regained": "store", "ready": "ready",
	"zone evacuated": "evacuation", "zone taken back": "evacuation", "registration lapsed": "registration",
	"registered": "registration", "stopping": "stop", "started": "start", "settings reloaded": "settings",
}

func whyCommand(e *env) *cobra.Command {
	return &cobra.Command{
		Use:   "why ID [FILE...]",
		Short: "Show what entry hosts decided about one request, and what they believed",
		Long: "Shows every line about one request, by its id, from the logs of entry hosts in order of\n" +
			"time, and under each line what its host believed then. Reads standard input without FILE.",
		Example: "  balsamctl why 9c41d07be2a35f68 entry-1.log entry-2.log\n  journal | balsamctl why 9c41d07be2a35f68",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			events, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			found := about(events, args[0])
			if len(found) == 0 {
				return errors.Wrapf(ErrBadUsage, "no line about request %s", args[0])
			}
			return e.show(found, func(out io.Writer) error { return printWhy(out, found) })
		},
	}
}

func readLogs(stdin io.Reader, files []string) ([]event, error) {
	if len(files) == 0 {
		return readEvents(stdin)
	}
	var all []event
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(ErrBadUsage, err.Error())
		}
		events, err := readEvents(f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, events...)
	}
	return all, nil
}

// readEvents reads key=value lines. Lines of another form are passed over: a log
// may hold a stack trace or another program's output.
func readEvents(r io.Reader) ([]event, error) {
	var events []event
	d := logfmt.NewDecoder(r)
	for d.ScanRecord() {
		var e event
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "time":
				e.At, _ = time.Parse(time.RFC3339Nano, value)
			case "host":
				e.Host = value
			case "msg":
				e.Kind = value
			case "level":
			default:
				e.Fields = append(e.Fields, field{key, value})
			}
		}
		if !e.At.IsZero() && e.Kind != "" {
			events = append(events, e)
		}
	}
	var syntax *logfmt.SyntaxError
	if err := d.Err(); err != nil && !errors.As(err, &syntax) {
		return nil, errors.Wrap(err, "read log")
	}
	return events, nil
}

// about picks the lines about a request and adds what their hosts believed.
func about(events []event, id string) []event {
	slices.SortStableFunc(events, func(x, y event) int { return x.At.Compare(y.At) })
	latest := map[string]map[string]event{}
	var found []event
	for _, e := range events {
		if topic, ok := beliefs[e.Kind]; ok {
			if latest[e.Host] == nil {
				latest[e.Host] = map[string]event{}
			}
			latest[e.Host][topic] = e
		}
		if e.value("id") != id {
			continue
		}
		for _, b := range latest[e.Host] {
			e.Belief = append(e.Belief, b)
		}
		slices.SortFunc(e.Belief, func(x, y event) int { return x.At.Compare(y.At) })
		found = append(found, e)
	}
	return found
}

func printWhy(out io.Writer, events []event) error {
	for _, e := range events {
		if _, err := fmt.Fprintf(out, "%s  %s  %s  %s\n", e.At.Format("15:04:05.000"), e.Host, e.Kind, fields(e)); err != nil {
			return errors.Wrap(err, "print")
		}
		for _, b := range e.Belief {
			if _, err := fmt.Fprintf(out, "    %v before: %s  %s\n", e.At.Sub(b.At), b.Kind, fields(b)); err != nil {
				return errors.Wrap(err, "print")
			}
		}
	}
	return nil
}

func fields(e event) string {
	var parts []string
	for _, f := range e.Fields {
		if f.Key != "id" {
			parts = append(parts, f.Key+"="+f.Value)
		}
	}
	return strings.Join(parts, " ")
}
