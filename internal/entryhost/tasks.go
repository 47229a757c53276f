package entryhost

import (
	"context"
	"maps"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// taskGroup runs functions in the background and names those that still run. It is safe for
// concurrent use.
type taskGroup struct {
	mu      sync.Mutex
	started int
	running map[int]string
	// done is closed while no task runs, and replaced when one starts.
	done chan struct{}
}

func newTaskGroup() *taskGroup {
	t := &taskGroup{running: map[int]string{}, done: make(chan struct{})}
	close(t.done)
	return t
}

// start runs a task.
func (t *taskGroup) start(ctx context.Context, task func(context.Context)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.running) == 0 {
		t.done = make(chan struct{})
	}
	t.started++
	id := t.started
	t.running[id] = functionName(task)
	go func() {
		defer t.end(id)
		task(ctx)
	}()
}

func (t *taskGroup) end(id int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
	if len(t.running) == 0 {
		close(t.done)
	}
}

// wait waits until no task runs, or until ctx ends. It returns the names of the tasks that still
// run.
func (t *taskGroup) wait(ctx context.Context) []string {
	t.mu.Lock()
	done := t.done
	t.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return t.names()
	}
}

// names returns the names of the running tasks, sorted.
func (t *taskGroup) names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Values(t.running))
}

// functionName returns the name of a function without the path of its package.
func functionName(f func(context.Context)) string {
	name := runtime.FuncForPC(reflect.ValueOf(f).Pointer()).Name()
	return strings.TrimSuffix(name[strings.LastIndexByte(name, '/')+1:], "-fm")
}
