package operator

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/steer"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
	"balsambarrow/internal/wire"
)

// Explanation is the body of GET /v1/explain. It describes how this daemon would
// route a request that enters in a zone at this moment.
type Explanation struct {
	Service   string `json:"service"`
	Customer  string `json:"customer"`
	EntryZone string `json:"from"`
	// Version is the version of the configuration in force.
	Version uint64 `json:"version"`
	// ProblemType is the problem type that the caller would receive, or empty if
	// the request is expected to be served. The customer's rate limit is not
	// evaluated.
	ProblemType string `json:"refused,omitempty"`
	Reason      string `json:"reason"`
	// Targets are the daemons that the request would be sent to, in order. The
	// order among equally ranked daemons is random and differs per request.
	Targets []ExplainedTarget `json:"targets"`
	// Upstreams are the upstreams of the service, sorted by name.
	Upstreams []ExplainedUpstream `json:"upstreams"`
}

// ExplainedTarget is a daemon that the request may be sent to.
type ExplainedTarget struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Free and Limit are the headroom that the daemon advertises for the service.
	Free  int `json:"free"`
	Limit int `json:"limit"`
	// ShiftQuota and LinkQuota name the quotas that a request to another region
	// is charged to. Both are empty in the region of the entry zone.
	ShiftQuota string `json:"shift,omitempty"`
	LinkQuota  string `json:"link,omitempty"`
}

// ExplainedUpstream reports whether an upstream can receive the request.
type ExplainedUpstream struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Handler string `json:"handler,omitempty"`
	Usable  bool   `json:"usable"`
	Reason  string `json:"reason"`
}

func (s *Server) getExplanation(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	snap := s.View.Load()
	e := Explanation{Service: q.Get("service"), Customer: q.Get("customer"), EntryZone: q.Get("from"), Version: snap.Self.ConfigVersion}
	if e.EntryZone == "" {
		e.EntryZone = snap.Self.Zone
	}
	if problem := explanationProblem(e, snap); problem != "" {
		writeFailure(w, http.StatusBadRequest, Failure{Type: FailureBadRequest, Detail: problem})
		return
	}
	e.addTargetsAndUpstreams(snap, time.Now())
	writeJSON(w, http.StatusOK, e)
}

func explanationProblem(e Explanation, snap *view.Snapshot) string {
	if snap.Config == nil {
		return "this daemon has no configuration yet"
	}
	c := snap.Config.Config
	if _, ok := c.Services[e.Service]; !ok {
		return "there is no service of this name"
	}
	if _, ok := c.Customers[e.Customer]; !ok {
		return "there is no customer of this name"
	}
	if _, ok := c.Zones[e.EntryZone]; !ok {
		return "there is no zone of this name"
	}
	return ""
}

func (e *Explanation) addTargetsAndUpstreams(snap *view.Snapshot, now time.Time) {
	c := snap.Config.Config
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		if c.Upstreams[name].Service == e.Service {
			e.Upstreams = append(e.Upstreams, explainUpstream(snap, e.Customer, name))
		}
	}
	rng := rand.New(rand.NewPCG(0, 0))
	table := steer.NewBuilder(e.EntryZone).Build(snap.Config, snap.Ready, upstream.Assign(c, snap.Ready), now)
	for _, t := range table.Choose(steer.Request{Service: e.Service, Customer: e.Customer}, now, rng) {
		m := t.Handler.Member
		headroom := m.Headroom[e.Service]
		e.Targets = append(e.Targets, ExplainedTarget{
			Host: m.Host, Zone: m.Zone, Region: snap.Config.Region(m.Zone),
			Free: headroom.Free, Limit: headroom.Limit, ShiftQuota: t.ShiftQuota, LinkQuota: t.LinkQuota,
		})
	}
	e.setReason(snap, now)
}

func (e *Explanation) setReason(snap *view.Snapshot, now time.Time) {
	maxStaleness := time.Duration(snap.Config.Config.Customers[e.Customer].MaxStalenessMs) * time.Millisecond
	switch {
	case !snap.Config.Allows(e.Customer, e.Service):
		e.ProblemType, e.Reason = wire.TypeForbidden, "the customer may not call this service"
	case maxStaleness > 0 && now.Sub(snap.ConfirmedAt) > maxStaleness:
		e.ProblemType, e.Reason = wire.TypeNoConfiguration, "the configuration here has not been confirmed for longer than the customer allows"
	case len(e.Targets) == 0:
		e.ProblemType, e.Reason = wire.TypeNoRoom, "no zone that may serve this has a ready handler"
	case e.Targets[0].Zone == e.EntryZone:
		e.Reason = "served in the zone where it enters"
	case e.Targets[0].Region == snap.Config.Region(e.EntryZone):
		e.Reason = "no handler in the zone where it enters; served in the same region"
	default:
		e.Reason = "no handler in the region where it enters; served in another region"
	}
}

func explainUpstream(snap *view.Snapshot, customer, name string) ExplainedUpstream {
	c := snap.Config.Config
	u := c.Upstreams[name]
	explained := ExplainedUpstream{Name: name, Zone: u.Zone}
	if handler, ok := snap.Find(upstream.HandlerOf(c, name, snap.Ready)); ok {
		explained.Handler = handler.Host
	}
	region := snap.Config.Region(u.Zone)
	switch {
	case !allowsRegion(c.Services[u.Service].Regions, region):
		explained.Reason = "the service may not be served in region " + region
	case !allowsRegion(c.Customers[customer].Regions, region):
		explained.Reason = "the customer may not be served in region " + region
	case u.Leaving:
		explained.Reason = "leaving"
	case findDrain(c, name, u) != "":
		explained.Reason = "drain " + findDrain(c, name, u)
	case explained.Handler == "":
		explained.Reason = "no ready daemon in its zone or the zone's sibling"
	default:
		explained.Usable, explained.Reason = true, "in use"
	}
	return explained
}

func allowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// findDrain returns the id of a drain that affects an upstream, or "" if there
// is none.
func findDrain(c *config.Config, name string, u config.Upstream) string {
	for _, id := range slices.Sorted(maps.Keys(c.Drains)) {
		d := c.Drains[id]
		switch {
		case d.Kind == config.DrainUpstream && d.Target == name,
			d.Kind == config.DrainZone && d.Target == u.Zone,
			d.Kind == config.DrainRegion && d.Target == c.Zones[u.Zone].Region:
			return id
		}
	}
	return ""
}
