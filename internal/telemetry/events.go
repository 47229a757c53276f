package telemetry

import (
	"io"
	stdlog "log"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// queuedLines bounds the lines that wait for the output: a second of the
	// most that may be written, at some 300 bytes each.
	queuedLines = 1024
	// linesPerSecond bounds each kind of event. A busy host answers a few
	// hundred requests a second, of which one in a few is told of; a line takes
	// some 10 µs.
	linesPerSecond = 60
)

// Events writes one key=value line per event without ever making its caller
// wait: lines go through a queue of fixed size, each kind of event has a number
// of lines a second, and what is left out is counted and told once a second.
type Events struct {
	logger *log.Logger
	queue  chan []byte
	out    io.Writer
	// OnDropped is told how many lines of a kind were left out. Default nil.
	OnDropped func(kind string, n int)

	mu     sync.Mutex
	second int64
	lines  map[string]int
	lost   map[string]int
}

// NewEvents writes the events of an entry host to w. Run has to be running.
func NewEvents(w io.Writer, level, host string) *Events {
	e := &Events{queue: make(chan []byte, queuedLines), out: w, lines: map[string]int{}, lost: map[string]int{}}
	e.logger = NewLogger(queueWriter{e}, level).With("host", host)
	return e
}

// SetLevel changes the least level that is written.
func (e *Events) SetLevel(level string) {
	if parsed, err := log.ParseLevel(level); err == nil {
		e.logger.SetLevel(parsed)
	}
}

// queueWriter puts lines into the queue.
type queueWriter struct{ e *Events }

// Write implements io.Writer. A line that finds no room is lost.
func (q queueWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case q.e.queue <- copied:
	default:
		q.e.count("queue-full")
	}
	return len(line), nil
}

// Debug writes an event that only developers look for. Pairs are keys and values.
func (e *Events) Debug(kind string, pairs ...any) { e.write(log.DebugLevel, kind, pairs) }

// Info writes an event that is part of usual work.
func (e *Events) Info(kind string, pairs ...any) { e.write(log.InfoLevel, kind, pairs) }

// Warn writes an event that something is wrong with.
func (e *Events) Warn(kind string, pairs ...any) { e.write(log.WarnLevel, kind, pairs) }

func (e *Events) write(level log.Level, kind string, pairs []any) {
	if level < e.logger.GetLevel() || !e.allowed(kind) {
		return
	}
	e.logger.Log(level, kind, pairs...)
}

func (e *Events) allowed(kind string) bool {
	second := time.Now().Unix()
	e.mu.Lock()
	defer e.mu.Unlock()
	if second != e.second {
		e.second = second
		clear(e.lines)
	}
	if e.lines[kind] >= linesPerSecond {
		e.lost[kind]++
		return false
	}
	e.lines[kind]++
	return true
}

func (e *Events) count(kind string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost[kind]++
}

// Run writes queued lines until stop is closed, and then those that are left.
// A stalled output stalls only this goroutine.
func (e *Events) Run(stop <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case line := <-e.queue:
			e.put(line)
		case <-tick.C:
			e.tellLost()
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
			e.put(line)
		default:
			return
		}
	}
}

// put writes one line. Where the output has failed there is nowhere to say so
// but the count.
func (e *Events) put(line []byte) {
	if _, err := e.out.Write(line); err != nil {
		e.count("output-failed")
	}
}

func (e *Events) tellLost() {
	e.mu.Lock()
	lost := e.lost
	e.lost = map[string]int{}
	e.mu.Unlock()
	for kind, n := range lost {
		if e.OnDropped != nil {
			e.OnDropped(kind, n)
		}
		e.logger.Warn("lines dropped", "kind", kind, "count", n)
	}
}

// StdLogger returns a logger for libraries that want one.
func (e *Events) StdLogger() *stdlog.Logger { return e.logger.StandardLog() }
