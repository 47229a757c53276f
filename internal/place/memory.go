package place

import "time"

// Memory is what a table has learned that is still true after all entry hosts
// have started again: upstreams live on.
type Memory struct {
	Upstreams []UpstreamMemory
	Routes    []RouteMemory
}

// UpstreamMemory is one run of an upstream.
type UpstreamMemory struct {
	ID      string
	Born    int64
	Objects []ObjectMemory
}

// ObjectMemory is an object that is warm at an upstream.
type ObjectMemory struct {
	Object Object
	// Age is the time since the upstream was last asked about it.
	Age time.Duration
}

// RouteMemory is what a route's requests take.
type RouteMemory struct {
	Name string
	// Warm and Cold are the times that work takes; 0: not known.
	Warm, Cold time.Duration
	// Bytes of an answer.
	Bytes int
}

// Memory returns what this host knows.
func (t *Table) Memory(now time.Time) Memory {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m Memory
	for _, w := range t.byID {
		if known := w.memory(now); len(known.Objects) > 0 {
			m.Upstreams = append(m.Upstreams, known)
		}
	}
	for name, w := range t.serviceTimes {
		m.Routes = append(m.Routes, RouteMemory{Name: name, Warm: w.warm.value, Cold: w.cold.value, Bytes: int(t.links.answerBytes[name])})
	}
	return m
}

func (w *upstream) memory(now time.Time) UpstreamMemory {
	out := UpstreamMemory{ID: w.ID, Born: w.StartedMs}
	for object, known := range w.warm {
		if age := now.Sub(known.at); known.answered && age < WarmFor {
			out.Objects = append(out.Objects, ObjectMemory{object, age})
		}
	}
	return out
}

// Restore takes over what was known before this process began, and returns the
// number of objects. What was learned since goes before it, and an upstream that
// has started again holds nothing of before.
func (t *Table) Restore(now time.Time, m Memory) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	objects := 0
	for _, known := range m.Upstreams {
		if w := t.byID[known.ID]; w != nil && w.StartedMs == known.Born {
			objects += t.restoreObjects(now, w, known.Objects)
		}
	}
	for _, r := range m.Routes {
		getOrCreate(t.serviceTimes, r.Name).restore(r)
		if _, ok := t.links.answerBytes[r.Name]; !ok && r.Bytes > 0 {
			t.links.answerBytes[r.Name] = float64(r.Bytes)
		}
	}
	return objects
}

func (t *Table) restoreObjects(now time.Time, w *upstream, objects []ObjectMemory) int {
	n := 0
	for _, o := range objects {
		if _, ok := w.warm[o.Object]; ok || o.Age >= WarmFor || len(w.warm) >= maxWarmObjects {
			continue
		}
		t.applyWarm(now, now.Add(-o.Age), w, o.Object)
		n++
	}
	return n
}
