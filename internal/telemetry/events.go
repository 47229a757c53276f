package telemetry

import (
	"fmt"
	"io"
	stdlog "log"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// queuedLines bounds the lines that wait for the output. It holds the lines of
	// one second at the highest rate, with about 300 bytes each.
	queuedLines = 1024
	// linesPerSecond bounds the lines of each kind of event. A busy host serves
	// several hundred requests a second and logs a fraction of them; a line costs
	// about 10 µs.
	linesPerSecond = 60
	// maxValueBytes bounds a value in a line: callers and upstreams choose some of them.
	maxValueBytes = 512
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// Events is an event log that writes one key=value line per event and never blocks
// its callers: lines go through a queue of fixed size, and each kind of event is rate
// limited. Dropped lines are counted and reported once a second.
type Events struct {
	logger *log.Logger
	queue  chan []byte
	out    io.Writer
	// OnDropped is called with the number of dropped lines of a kind. Optional.
	OnDropped func(kind string, n int)

	mu      sync.Mutex
	second  int64
	lines   map[string]int
	dropped map[string]int
	// reportDue receives when dropped lines are to be reported. reportScheduled is set from the
	// first dropped line until then.
	reportDue       chan struct{}
	reportScheduled bool
}

// NewEvents returns the event log of an entry host, which writes to w. Lines are
// written by Run, which has to be started.
func NewEvents(w io.Writer, level, host string) *Events {
	e := &Events{queue: make(chan []byte, queuedLines), out: w, lines: map[string]int{}, dropped: map[string]int{}, reportDue: make(chan struct{}, 1)}
	e.logger = NewLogger(queueWriter{e}, level).With("host", host)
	return e
}

// SetLevel changes the lowest level that is written. Unknown levels are ignored.
func (e *Events) SetLevel(level string) {
	if parsed, err := log.ParseLevel(level); err == nil {
		e.logger.SetLevel(parsed)
	}
}

// queueWriter is an io.Writer that adds lines to the queue.
type queueWriter struct{ e *Events }

// Write implements io.Writer. It drops the line if the queue is full.
func (q queueWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case q.e.queue <- copied:
	default:
		q.e.countDropped("queue-full")
	}
	return len(line), nil
}

// Debug logs an event that only developers need. pairs alternates keys and values.
func (e *Events) Debug(kind string, pairs ...any) { e.write(log.DebugLevel, kind, pairs) }

// Info logs an event of normal operation.
func (e *Events) Info(kind string, pairs ...any) { e.write(log.InfoLevel, kind, pairs) }

// Warn logs an event that indicates a problem.
func (e *Events) Warn(kind string, pairs ...any) { e.write(log.WarnLevel, kind, pairs) }

func (e *Events) write(level log.Level, kind string, pairs []any) {
	if level < e.logger.GetLevel() || !e.allow(kind) {
		return
	}
	e.logger.Log(level, kind, cutValues(pairs)...)
}

// cutValues returns pairs in which texts of more than maxValueBytes are cut.
func cutValues(pairs []any) []any {
	out := make([]any, len(pairs))
	for i, value := range pairs {
		out[i] = value
		switch v := value.(type) {
		case string:
			out[i] = cutText(v)
		case error:
			out[i] = cutText(v.Error())
		}
	}
	return out
}

func cutText(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return fmt.Sprintf("%s (%d more bytes)", text[:maxValueBytes], len(text)-maxValueBytes)
}

func (e *Events) allow(kind string) bool {
	second := time.Now().Unix()
	e.mu.Lock()
	defer e.mu.Unlock()
	if second != e.second {
		e.second = second
		clear(e.lines)
	}
	if e.lines[kind] >= linesPerSecond {
		e.addDropped(kind)
		return false
	}
	e.lines[kind]++
	return true
}

func (e *Events) countDropped(kind string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addDropped(kind)
}

// addDropped counts a dropped line, and schedules a report. The caller must hold e.mu.
func (e *Events) addDropped(kind string) {
	e.dropped[kind]++
	if !e.reportScheduled {
		e.reportScheduled = true
		time.AfterFunc(reportInterval, func() { e.reportDue <- struct{}{} })
	}
}

// Run writes queued lines until stop is closed, and then the remaining ones. A
// stalled output blocks only Run.
func (e *Events) Run(stop <-chan struct{}) {
	for {
		select {
		case line := <-e.queue:
			e.writeLine(line)
		case <-e.reportDue:
			e.reportDropped()
		case <-stop:
			e.drain()
			return
		}
	}
}

func (e *Events) drain() {
	for {
		select {
		case line := <-e.queue:
			e.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes one line. A failed write cannot be logged, so it is only counted.
func (e *Events) writeLine(line []byte) {
	if _, err := e.out.Write(line); err != nil {
		e.countDropped("output-failed")
	}
}

func (e *Events) reportDropped() {
	e.mu.Lock()
	dropped := e.dropped
	e.dropped, e.reportScheduled = map[string]int{}, false
	e.mu.Unlock()
	for kind, n := range dropped {
		if e.OnDropped != nil {
			e.OnDropped(kind, n)
		}
		e.logger.Warn("lines dropped", "kind", kind, "count", n)
	}
}

// StdLogger returns a logger of the standard library that writes to the event log.
func (e *Events) StdLogger() *stdlog.Logger { return e.logger.StandardLog() }
