package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"balsambarrow/internal/standin"
)

const (
	// changePath is the prefix of the route that versions change.
	changePath = "/change/"
	// withdrawnKey is a key that a version takes back.
	withdrawnKey = "withdrawn"
)

func serviceName(i int) string { return fmt.Sprint("s", i) }

func servicePath(i int) string { return fmt.Sprintf("/p%d/", i) }

// matrixRoute is a route of a matrixConfig.
type matrixRoute struct {
	name, prefix, kind string
	timeout            time.Duration
	attempts           int
	services           []string
}

// matrixConfig is a configuration with one route for each service, and one that versions change.
type matrixConfig struct {
	version int
	routes  []matrixRoute
	keys    []string
}

func newMatrixConfig() matrixConfig {
	c := matrixConfig{version: 1, keys: []string{"steady", withdrawnKey}}
	for i := range matrixServices {
		c.routes = append(c.routes, matrixRoute{serviceName(i), servicePath(i), "unsafe", 3 * time.Second, 3, []string{serviceName(i)}})
	}
	return c
}

// route returns the route that versions change.
func (c *matrixConfig) route() *matrixRoute {
	i := slices.IndexFunc(c.routes, func(r matrixRoute) bool { return r.name == "change" })
	return &c.routes[i]
}

// beginChange adds the route as it is before a change.
func (c *matrixConfig) beginChange(change versionChange) {
	c.keys = []string{"steady", withdrawnKey}
	c.routes = slices.DeleteFunc(c.routes, func(r matrixRoute) bool { return strings.HasPrefix(r.name, "change") })
	kind := change.kind
	if kind == "" {
		kind = "unsafe"
	}
	c.routes = append(c.routes, matrixRoute{"change", changePath, kind, 3 * time.Second, 3, []string{serviceName(0), serviceName(1), serviceName(2)}})
}

// versionChange is a change of the route under which requests are in flight.
type versionChange struct {
	name string
	// kind is that of the route before; "" means unsafe.
	kind string
	key  string
	// late is set if the change is also written before the requests are sent.
	late bool
	edit func(*matrixConfig)
}

var versionChanges = []versionChange{
	{name: "kind becomes unsafe", kind: "safe", late: true, edit: func(c *matrixConfig) { c.route().kind = "unsafe" }},
	{name: "kind becomes safe", edit: func(c *matrixConfig) { c.route().kind = "safe" }},
	{name: "unsafe route added below a safe one", kind: "safe", late: true, edit: func(c *matrixConfig) {
		c.routes = append(c.routes, matrixRoute{"change-part", changePath + "part/", "unsafe", 3 * time.Second, 3, []string{serviceName(3)}})
	}},
	{name: "safe route added below", edit: func(c *matrixConfig) {
		c.routes = append(c.routes, matrixRoute{"change-part", changePath + "part/", "safe", 3 * time.Second, 3, []string{serviceName(3)}})
	}},
	{name: "service changed", edit: func(c *matrixConfig) { c.route().services = []string{serviceName(4)} }},
	{name: "split changed", edit: func(c *matrixConfig) { c.route().services = []string{serviceName(4), serviceName(0)} }},
	{name: "time limit shortened", edit: func(c *matrixConfig) { c.route().timeout = 100 * time.Millisecond }},
	{name: "one attempt", edit: func(c *matrixConfig) { c.route().attempts = 1 }},
	{name: "route dropped", edit: func(c *matrixConfig) { c.route().prefix = "/other/" }},
	{name: "key withdrawn", key: withdrawnKey, edit: func(c *matrixConfig) { c.keys = []string{"steady"} }},
}

// encode returns the configuration in the format of the users' platform.
func (c *matrixConfig) encode() []byte {
	table := func(columns []string, rows [][]any) map[string]any {
		return map[string]any{"columns": columns, "rows": rows}
	}
	var routes, services [][]any
	for _, r := range c.routes {
		var split []map[string]any
		for _, s := range r.services {
			split = append(split, map[string]any{"service": s, "weight": 1})
		}
		routes = append(routes, []any{r.name, standin.CallerHost, r.prefix, r.kind, r.timeout.String(), "300ms", r.attempts, split})
	}
	for i := range matrixServices {
		services = append(services, []any{serviceName(i), "/health", "1s", 1000})
	}
	value, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("r%d", c.version),
		"routes":   table([]string{"name", "host", "prefix", "kind", "timeout", "target-latency", "max-attempts", "traffic-split"}, routes),
		"services": table([]string{"name", "health-check-path", "cold-start", "cold-per-s"}, services),
		"limits":   map[string]any{},
		"tenants":  table([]string{"name", "api-keys"}, [][]any{{"calm", c.keys}}),
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}

// metricsOf returns the metrics of a host; "" if it does not respond.
func metricsOf(h *daemonProcess) string {
	resp, err := http.Get("http://" + h.metrics + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(text)
}
