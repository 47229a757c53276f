package catalog

import (
	"fmt"
	"net"
	"sort"
	"strings"
)

// InvalidError reports an invalid entry of a declaration.
type InvalidError struct {
	// Entry is the invalid entry, such as "route r-1".
	Entry string
	// Problem describes why the entry is invalid.
	Problem string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("catalog: %s: %s", e.Entry, e.Problem) }

// New checks and indexes a declaration. The error is an *InvalidError.
func New(d Declaration) (*Catalog, error) {
	c := &Catalog{
		Version: d.Version, Limits: d.Limits, RequiresKeys: d.RequiresKeys,
		services: map[string]*Service{}, byHost: map[string][]*Route{}, byKey: map[string]*Customer{},
	}
	for i := range d.Services {
		s := d.Services[i]
		c.services[s.Name] = &s
	}
	for i := range d.Routes {
		if err := c.addRoute(d.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range d.Customers {
		if err := c.addCustomer(d.Customers[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c, nil
}

func (c *Catalog) addRoute(r Route) error {
	entry := "route " + r.Name
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
		return &InvalidError{entry, "needs a host and a prefix that begins with a slash"}
	}
	if len(r.Services) == 0 {
		return &InvalidError{entry, "names no service"}
	}
	for _, p := range r.Services {
		if c.services[p.Service] == nil {
			return &InvalidError{entry, "unknown service " + p.Service}
		}
	}
	if r.MaxAttempts < 1 {
		r.MaxAttempts = 1
	}
	host := strings.ToLower(r.Host)
	c.byHost[host] = append(c.byHost[host], &r)
	return nil
}

func (c *Catalog) addCustomer(u Customer) error {
	c.customers = append(c.customers, &u)
	for _, key := range u.Keys {
		if key == "" {
			continue
		}
		if other := c.byKey[key]; other != nil && other != &u {
			return &InvalidError{"customer " + u.Name, "shares a key with " + other.Name}
		}
		c.byKey[key] = &u
	}
	return nil
}

// Route returns the route of the host whose prefix is the longest that matches the
// path; nil if there is none. The host may include a port.
func (c *Catalog) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name; nil if it is not declared.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// CustomerByKey returns the customer that a key belongs to; nil if there is none.
func (c *Catalog) CustomerByKey(key string) *Customer { return c.byKey[key] }

// Customers returns all declared customers.
func (c *Catalog) Customers() []*Customer { return c.customers }

// CustomerByName returns a customer by its name; nil if it is not declared.
func (c *Catalog) CustomerByName(name string) *Customer {
	for _, u := range c.customers {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// AllowedRegions returns the regions that may serve a request: those that both the route and the
// customer allow. restricted is false if neither restricts the regions.
func AllowedRegions(r *Route, u *Customer) (regions []string, restricted bool) {
	if u == nil || len(u.Regions) == 0 {
		return r.Regions, len(r.Regions) > 0
	}
	if len(r.Regions) == 0 {
		return u.Regions, true
	}
	for _, x := range r.Regions {
		for _, y := range u.Regions {
			if x == y {
				regions = append(regions, x)
			}
		}
	}
	return regions, true
}

// Priority returns the priority of a request. The priority of the customer, if set, takes
// precedence over that of the route.
func Priority(r *Route, u *Customer) int {
	if u != nil && u.HasPriority {
		return u.Priority
	}
	return r.Priority
}
