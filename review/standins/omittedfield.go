package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"balsambarrow/internal/standin"
)

const (
	keptKey      = "key-kept"
	withdrawnKey = "key-withdrawn"
	exportPath   = "/export/"
)

// table is a table in the encoding of the platform.
type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// configuration returns the value of a configuration: a route for reads and one for exports, and one
// customer. timeout is that of the exports; nil omits it.
func configuration(version int, timeout any, keys ...string) []byte {
	routes := [][]any{{"read", standin.CallerHost, standin.ReadPath, "safe", "2000ms", "500ms", 2, 2, standin.Service, nil}}
	if version > 1 {
		routes = append(routes, []any{"export", standin.CallerHost, exportPath, "download", timeout, "400ms", 2, 2, standin.Service, nil})
	}
	value, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"routes":   table{[]string{"name", "host", "prefix", "kind", "timeout", "target-latency", "priority", "max-attempts", "service", "traffic-split"}, routes},
		"services": table{[]string{"name", "health-check-path", "max-connections", "cold-start", "cold-per-s"}, [][]any{{standin.Service, "/health", 360, "3s", 5.9}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
		"tenants":  table{[]string{"name", "api-keys", "priority", "rate-per-s", "burst", "allowed-regions"}, [][]any{{"sese880", keys, 1, 0, 0, []string{}}}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}

// playOmittedField takes a key away by a configuration that also adds a route. The disruption is that
// the route has no timeout: its value is null in that column.
func playOmittedField(f *fleet, trouble bool) (broken int, err error) {
	f.store.Put(configurationKey, configuration(1, nil, keptKey, withdrawnKey))
	for _, zone := range []string{"vt-burlington", "me-orono", "ma-amherst"} {
		if _, err := f.addUpstream("i-"+zone, zone, 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	if err := f.addHosts("vt-burlington", "me-orono", "ma-amherst"); err != nil {
		return 0, err
	}
	var timeout any = "2500ms"
	if trouble {
		timeout = nil
	}
	f.ask("before", withdrawnKey, standin.ReadPath)
	f.store.Put(configurationKey, configuration(4, timeout, keptKey))
	acked := time.Now()
	f.record("the store has acknowledged r4, which takes %s away and adds %s with timeout %v", withdrawnKey, exportPath, timeout)
	for round := range 5 {
		time.Sleep(time.Until(acked.Add(revoke + time.Second + time.Duration(round)*time.Second)))
		f.ask(fmt.Sprint("withdrawn-", round), withdrawnKey, standin.ReadPath)
		f.ask(fmt.Sprint("export-", round), keptKey, exportPath)
	}
	return f.countRunsAfter(acked.Add(revoke), "withdrawn-"), nil
}

// ask sends one request to each host.
func (f *fleet) ask(name, key, path string) {
	for _, h := range f.hosts {
		id := name + "-" + h.name
		a := sendOnce(h.callers, request{id: id, method: http.MethodGet, path: path + "1", key: key, limit: 2 * time.Second})
		f.record("%s with %s at %s: %v", id, key, h.name, a)
	}
}

// countRunsAfter returns the number of requests that upstreams have run after a time and whose ids
// begin with a prefix.
func (f *fleet) countRunsAfter(at time.Time, prefix string) int {
	n := 0
	for _, u := range f.upstreams {
		for _, run := range u.Runs() {
			f.record("upstream %s ran %s for %s at %.3f", u.ID, run.ID, run.Customer, run.At.Sub(f.began).Seconds())
			if run.At.After(at) && strings.HasPrefix(run.ID, prefix) {
				n++
			}
		}
	}
	return n
}
