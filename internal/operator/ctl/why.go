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

// field is one key=value pair of a log line. It is encoded under the names of its
// fields.
type field struct{ Key, Value string }

// event is one line in the log of an entry host.
type event struct {
	At     time.Time `json:"at"`
	Host   string    `json:"host"`
	Kind   string    `json:"kind"`
	Fields []field   `json:"fields"`
	// KnownState holds, for a line about the request, the latest earlier lines
	// of the same host that report a change of the host's state.
	KnownState []event `json:"belief,omitempty"`
}

func (e *event) value(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// stateTopics maps the log messages that report a change of a host's state to the
// topic of that state. Only the latest line of each topic applies: messages that
// exclude each other have the same topic.
var stateTopics = map[string]string{
	"configuration in force": "configuration", "store lost": "store", "store regained": "store", "ready": "ready",
	"zone evacuated": "evacuation", "zone taken back": "evacuation", "registration lapsed": "registration",
	"registered": "registration", "stopping": "stop", "started": "start", "settings reloaded": "settings",
}

func whyCommand(e *commandEnv) *cobra.Command {
	return &cobra.Command{
		Use:   "why ID [FILE...]",
		Short: "Show how entry hosts handled one request, and their known state at that time",
		Long: "Show every log line about one request, by its id, from the logs of entry hosts in order of\n" +
			"time, each with the state that its host knew then. Without FILE, reads standard input.",
		Example: "  balsamctl why 9c41d07be2a35f68 entry-1.log entry-2.log\n  journal | balsamctl why 9c41d07be2a35f68",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			events, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			found := requestEvents(events, args[0])
			if len(found) == 0 {
				return errors.Wrapf(ErrBadUsage, "no log line about request %s", args[0])
			}
			return e.printOutput(found, func(out io.Writer) error { return printEvents(out, found) })
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

// readEvents reads the key=value lines of a log. It skips all other lines, since a
// log may contain stack traces or the output of another program.
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

// requestEvents returns the events of a request in order of time, each with the
// state that its host knew at that time.
func requestEvents(events []event, requestID string) []event {
	slices.SortStableFunc(events, func(x, y event) int { return x.At.Compare(y.At) })
	latest := map[string]map[string]event{}
	var found []event
	for _, e := range events {
		if topic, ok := stateTopics[e.Kind]; ok {
			if latest[e.Host] == nil {
				latest[e.Host] = map[string]event{}
			}
			latest[e.Host][topic] = e
		}
		if e.value("id") != requestID {
			continue
		}
		for _, state := range latest[e.Host] {
			e.KnownState = append(e.KnownState, state)
		}
		slices.SortFunc(e.KnownState, func(x, y event) int { return x.At.Compare(y.At) })
		found = append(found, e)
	}
	return found
}

func printEvents(out io.Writer, events []event) error {
	for _, e := range events {
		if _, err := fmt.Fprintf(out, "%s  %s  %s  %s\n", e.At.Format("15:04:05.000"), e.Host, e.Kind, formatFields(e)); err != nil {
			return errors.Wrap(err, "print")
		}
		for _, state := range e.KnownState {
			if _, err := fmt.Fprintf(out, "    %v before: %s  %s\n", e.At.Sub(state.At), state.Kind, formatFields(state)); err != nil {
				return errors.Wrap(err, "print")
			}
		}
	}
	return nil
}

func formatFields(e event) string {
	var parts []string
	for _, f := range e.Fields {
		if f.Key != "id" {
			parts = append(parts, f.Key+"="+f.Value)
		}
	}
	return strings.Join(parts, " ")
}
