package place

import "time"

// LearnedState is the state of a table that is restored after all entry hosts have
// restarted. It stays valid because the upstreams keep running.
type LearnedState struct {
	Upstreams []UpstreamState
	Routes    []RouteState
}

// UpstreamState is the learned state of one instance of an upstream.
type UpstreamState struct {
	ID string
	// StartedMs is the start time of the instance, in Unix milliseconds by its clock.
	StartedMs int64
	Objects   []WarmObject
}

// WarmObject is an object that is warm at an upstream.
type WarmObject struct {
	Object Object
	// Age is the time since the upstream last received a request about the object.
	Age time.Duration
}

// RouteState is the learned state of a route.
type RouteState struct {
	Name string
	// Warm and Cold are the mean service times; 0 if unknown.
	Warm, Cold time.Duration
	// ResponseBytes is the mean size of a response.
	ResponseBytes int
}

// LearnedState returns the state that this host has learned.
func (t *Table) LearnedState(now time.Time) LearnedState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m LearnedState
	for _, w := range t.byID {
		if known := w.learnedState(now); len(known.Objects) > 0 {
			m.Upstreams = append(m.Upstreams, known)
		}
	}
	for name, w := range t.serviceTimes {
		m.Routes = append(m.Routes, RouteState{Name: name, Warm: w.warm.value, Cold: w.cold.value, ResponseBytes: int(t.links.responseBytes[name])})
	}
	return m
}

func (w *upstream) learnedState(now time.Time) UpstreamState {
	out := UpstreamState{ID: w.ID, StartedMs: w.StartedMs}
	for object, known := range w.warm {
		if age := now.Sub(known.lastUsed); known.answered && age < WarmTTL {
			out.Objects = append(out.Objects, WarmObject{object, age})
		}
	}
	return out
}

// Restore applies state that was learned before this process started and returns the
// number of objects restored. State learned since then takes precedence, and an
// upstream that has restarted gets no objects.
func (t *Table) Restore(now time.Time, m LearnedState) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	objects := 0
	for _, known := range m.Upstreams {
		if w := t.byID[known.ID]; w != nil && w.StartedMs == known.StartedMs {
			objects += t.restoreObjects(now, w, known.Objects)
		}
	}
	for _, r := range m.Routes {
		getOrCreate(t.serviceTimes, r.Name).restore(r)
		if _, ok := t.links.responseBytes[r.Name]; !ok && r.ResponseBytes > 0 {
			t.links.responseBytes[r.Name] = float64(r.ResponseBytes)
		}
	}
	return objects
}

func (t *Table) restoreObjects(now time.Time, w *upstream, objects []WarmObject) int {
	n := 0
	for _, o := range objects {
		if _, ok := w.warm[o.Object]; ok || o.Age >= WarmTTL || len(w.warm) >= maxWarmObjects {
			continue
		}
		t.applyWarm(now, now.Add(-o.Age), w, o.Object)
		n++
	}
	return n
}
