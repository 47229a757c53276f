package quota

import (
	"sync/atomic"
	"time"
)

// Fence blocks all spending when the control thread has not run for a while.
//
// A process may be paused (SIGSTOP, a suspended virtual machine) for so long
// that another daemon acquires its slots. When the process resumes, traffic
// threads may run before the control thread notices the pause. Each spend
// therefore compares its own time with the fence, which only the control
// thread extends. A new fence is open, because a ledger has no shares before
// the control thread first runs. A Fence is safe for concurrent use.
type Fence struct{ openUntil atomic.Pointer[time.Time] }

// Extend allows spending until the given time.
func (f *Fence) Extend(until time.Time) { f.openUntil.Store(&until) }

// Open reports whether spending is allowed at now.
func (f *Fence) Open(now time.Time) bool {
	until := f.openUntil.Load()
	return until == nil || now.Before(*until)
}
