package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	// The record is also shown; a write error does not change the result.
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

func (r *record) close() { _ = r.file.Close() }
