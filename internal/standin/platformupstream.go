package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// PlatformRun is one request that a Worker has run.
type PlatformRun struct {
	ID       string
	Method   string
	Target   string
	Customer string
	Key      string
	Body     string
	At       time.Time
}

// PlatformUpstream stands in for an upstream of the users' platform: it echoes the
// request's id, signs its answer, tells its load and refuses what is meant for
// another instance. It is safe for concurrent use.
type PlatformUpstream struct {
	// ID of the instance at its start, and how long a request takes.
	ID          string
	ServiceTime time.Duration

	mu         sync.Mutex
	instanceID string
	handler    func(w http.ResponseWriter, r *http.Request)
	running    int
	runs       []PlatformRun
}

// workerSlots is how many requests a Worker says that it runs at once.
const platformUpstreamSlots = 4

// Runs returns what it has run.
func (k *PlatformUpstream) Runs() []PlatformRun {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]PlatformRun(nil), k.runs...)
}

// SetHandler replaces the usual answer; nil brings it back. It is asked after the
// request was noted.
func (k *PlatformUpstream) SetHandler(handler func(w http.ResponseWriter, r *http.Request)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handler = handler
}

// SetInstanceID makes another instance of it, at the same address.
func (k *PlatformUpstream) SetInstanceID(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instanceID = id
}

func (k *PlatformUpstream) currentID() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.instanceID != "" {
		return k.instanceID
	}
	return k.ID
}

// RegistryEntry is what the worker registers under its id.
func (k *PlatformUpstream) RegistryEntry(service, address, zone, state string, sequence int) []byte {
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": platformUpstreamSlots,
		"state": state, "cold-remaining": "0ms", "sequence": sequence, "born": 1_700_000_000_000,
	})
	if err != nil {
		panic(err)
	}
	return entry
}

// ServeHTTP implements http.Handler.
func (k *PlatformUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != k.currentID() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.mu.Lock()
	k.running++
	k.runs = append(k.runs, PlatformRun{
		ID: r.Header.Get("X-Request-Id"), Method: r.Method, Target: r.RequestURI, Body: string(body), At: time.Now(),
		Customer: r.Header.Get("X-Tenant-Id"), Key: r.Header.Get("Authorization"),
	})
	handler := k.handler
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.running--
	}()
	if handler != nil {
		handler(w, r)
		return
	}
	time.Sleep(k.ServiceTime)
	k.mu.Lock()
	running := k.running
	k.mu.Unlock()
	w.Header().Set("X-Response-Signature", "signed-by-"+k.ID)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, platformUpstreamSlots))
	// A failed write means that the caller has left.
	_, _ = fmt.Fprintf(w, "%s ran %s", k.ID, r.Header.Get("X-Request-Id"))
}
