package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/platform"
	"balsambarrow/internal/view"
)

// Header names of the operators' API.
const (
	HeaderChangeID = "Balsam-Change-Id"
	HeaderIfMatch  = "If-Match"
)

// Deps is what the operators' API works with.
type Deps struct {
	View       *view.Published
	Repository *config.Repository
	// Adopt hands a record that was just written to the control thread.
	Adopt func(*config.Record)
	// Metrics is this daemon's set.
	Metrics *metrics.Set
}

// Server serves the operators' listener.
type Server struct {
	Deps
	mux *http.ServeMux
}

// New returns a server over deps.
func New(deps Deps) *Server {
	s := &Server{Deps: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/config", s.getConfig)
	s.mux.HandleFunc("PATCH /v1/config", s.patchConfig)
	s.mux.HandleFunc("GET /v1/changes/{id}", s.getChange)
	s.mux.HandleFunc("GET /v1/fleet", s.getFleet)
	s.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// ConfigAnswer is the body of GET /v1/config.
type ConfigAnswer struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document"`
}

// Failure is the body of every refusal of the operators' API.
type Failure struct {
	Type      string        `json:"type"`
	Detail    string        `json:"detail"`
	Current   uint64        `json:"current_version,omitempty"`
	Conflicts []string      `json:"conflicts,omitempty"`
	Faults    []jsonc.Fault `json:"faults,omitempty"`
}

// Types of Failure.
const (
	FailStale       = "stale-version"
	FailInvalid     = "invalid-configuration"
	FailNotApplied  = "not-applied"
	FailUnknown     = "outcome-unknown"
	FailBadRequest  = "bad-request"
	FailNoSuch      = "no-such-change"
	FailUnavailable = "unavailable"
)

func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	rec, _, err := s.Repository.Load(r.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailUnavailable, Detail: err.Error()})
		return
	}
	if rec == nil {
		rec = &config.Record{Document: json.RawMessage(`{}`)}
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(rec.Version, 10)))
	answer(w, http.StatusOK, ConfigAnswer{Version: rec.Version, Document: rec.Document})
}

func (s *Server) patchConfig(w http.ResponseWriter, r *http.Request) {
	patch, failure := readPatch(w, r)
	if failure != nil {
		fail(w, http.StatusBadRequest, *failure)
		return
	}
	// The write goes on if the operator's connection breaks: it is settled
	// by its change id either way.
	rec, err := s.Repository.Apply(context.WithoutCancel(r.Context()), patch)
	if err != nil {
		failApply(w, err)
		return
	}
	s.Adopt(rec)
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(rec.Version, 10)))
	answer(w, http.StatusOK, ConfigAnswer{Version: rec.Version, Document: rec.Document})
}

func readPatch(w http.ResponseWriter, r *http.Request) (config.Patch, *Failure) {
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get(HeaderIfMatch), `"`), 10, 64)
	if err != nil {
		return config.Patch{}, &Failure{Type: FailBadRequest, Detail: `If-Match: want the version the change was built on, as "7"`}
	}
	id, err := uuid.Parse(r.Header.Get(HeaderChangeID))
	if err != nil {
		return config.Patch{}, &Failure{Type: FailBadRequest, Detail: HeaderChangeID + ": want a UUID"}
	}
	merge, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		return config.Patch{}, &Failure{Type: FailBadRequest, Detail: "patch broke off or is larger than the store takes"}
	}
	return config.Patch{ChangeID: id.String(), Base: base, Merge: merge}, nil
}

func failApply(w http.ResponseWriter, err error) {
	var stale *config.StaleError
	var faults jsonc.Faults
	switch {
	case errors.As(err, &stale):
		fail(w, http.StatusConflict, Failure{
			Type: FailStale, Detail: err.Error(), Current: stale.Current, Conflicts: stale.Conflicts,
		})
	case errors.As(err, &faults):
		fail(w, http.StatusUnprocessableEntity, Failure{Type: FailInvalid, Detail: "nothing was changed", Faults: faults})
	case errors.Is(err, config.ErrOutcomeUnknown):
		fail(w, http.StatusGatewayTimeout, Failure{Type: FailUnknown, Detail: "ask GET /v1/changes/<id>"})
	default:
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailNotApplied, Detail: err.Error()})
	}
}

func (s *Server) getChange(w http.ResponseWriter, r *http.Request) {
	change, err := s.Repository.Change(r.Context(), r.PathValue("id"))
	switch {
	case errors.Is(err, config.ErrUnknownChange):
		fail(w, http.StatusNotFound, Failure{Type: FailNoSuch, Detail: err.Error()})
	case err != nil:
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailUnavailable, Detail: err.Error()})
	default:
		answer(w, http.StatusOK, change)
	}
}

// DaemonStatus is one daemon in GET /v1/fleet.
type DaemonStatus struct {
	Instance      string           `json:"instance"`
	Host          string           `json:"host"`
	Zone          string           `json:"zone"`
	State         membership.State `json:"state"`
	ConfigVersion uint64           `json:"config_version"`
	Slots         []int            `json:"slots"`
	Watches       bool             `json:"watches"`
}

// FleetAnswer is the body of GET /v1/fleet.
type FleetAnswer struct {
	// Seen is the daemon that answers; the rest is what it has heard.
	Seen    string         `json:"seen_by"`
	Version uint64         `json:"version"`
	Daemons []DaemonStatus `json:"daemons"`
}

func (s *Server) getFleet(w http.ResponseWriter, _ *http.Request) {
	snap := s.View.Load()
	out := FleetAnswer{Seen: snap.Self.Instance, Version: snap.Self.ConfigVersion}
	for _, m := range append([]membership.Member{snap.Self}, snap.Members...) {
		out.Daemons = append(out.Daemons, DaemonStatus{
			Instance: m.Instance, Host: m.Host, Zone: m.Zone, State: m.State,
			ConfigVersion: m.ConfigVersion, Slots: m.Slots, Watches: m.Watches,
		})
	}
	answer(w, http.StatusOK, out)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.View.Load().Self.State != membership.StateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func fail(w http.ResponseWriter, status int, f Failure) { answer(w, status, f) }
