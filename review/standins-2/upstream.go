package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is one request that an upstream has begun to work on.
type run struct {
	id, upstream string
	began        time.Time
	// bytes is the size of the body as far as it arrived, and complete is set if that is all of it.
	bytes    int64
	complete bool
	// ended is when the upstream had written its answer; zero before.
	ended time.Time
}

// upstream runs requests. It works on a request from the moment at which its header has arrived.
type upstream struct {
	id  string
	log *record
	// pause is how long the upstream works on the first part of a body before it reads on, and
	// work is how long it works after the end of the body.
	pause, work time.Duration

	mu   sync.Mutex
	runs map[string]*run
}

// firstPart is the number of bytes of a body that an upstream reads before its pause.
const firstPart = 16 << 10

// startUpstream starts an upstream and registers it.
func (d *deployment) startUpstream(id, service, zone string, slots int) (*upstream, error) {
	l, err := d.listen()
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, log: d.log, runs: map[string]*run{}}
	go func() { _ = http.Serve(l, u) }()
	d.register(id, service, zone, l.Addr().String(), slots)
	return u, nil
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if expected := r.Header.Get(headerExpected); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x := &run{id: id, upstream: u.id, began: time.Now()}
	u.mu.Lock()
	u.runs[id] = x
	pause, work := u.pause, u.work
	u.mu.Unlock()
	first, _ := io.CopyN(io.Discard, r.Body, firstPart)
	if first == firstPart {
		time.Sleep(pause)
	}
	rest, err := io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	x.bytes, x.complete = first+rest, err == nil
	u.mu.Unlock()
	if err != nil {
		u.log.printf("%s: body of %s broke off after %d bytes: %v", u.id, id, first+rest, err)
		return
	}
	time.Sleep(work)
	w.Header().Set(headerSignature, "signed-"+id)
	_, err = fmt.Fprintf(w, "%s ran %s", u.id, id)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err == nil {
		x.ended = time.Now()
	}
}

// runOf returns a copy of the run of a request.
func (u *upstream) runOf(id string) (run, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	x, ok := u.runs[id]
	if !ok {
		return run{}, false
	}
	return *x, true
}
