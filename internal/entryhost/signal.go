package entryhost

import "sync"

// signal is a broadcast: it wakes all goroutines that wait for the next event. It is safe for
// concurrent use.
type signal struct {
	mu   sync.Mutex
	wake chan struct{}
}

// next returns a channel that is closed at the next call of fire.
func (s *signal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	return s.wake
}

func (s *signal) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}
