package quota

import (
	"sync/atomic"
	"time"
)

// Fence stops all spending when the control thread has not run for a while.
//
// The failure it guards against: the process is paused (SIGSTOP, a frozen
// virtual machine) for so long that another daemon takes its slots. When it
// wakes, traffic threads may run before the control thread notices. Each spend
// therefore compares its own time with the fence, which only the control
// thread moves. It is safe for concurrent use. A new one is open: a ledger has
// no shares before the control thread first runs.
type Fence struct{ until atomic.Pointer[time.Time] }

// Extend lets spending go on until a time.
func (f *Fence) Extend(until time.Time) { f.until.Store(&until) }

// Open tells whether spending is allowed at now.
func (f *Fence) Open(now time.Time) bool {
	until := f.until.Load()
	return until == nil || now.Before(*until)
}
