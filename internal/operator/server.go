package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsambarrow/internal/config"
	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/view"
)

// Header names of the operators' API.
const (
	HeaderChangeID = "Balsam-Change-Id"
	HeaderIfMatch  = "If-Match"
)

// Deps is what the operators' API works with.
type Deps struct {
	View       *view.Publisher
	Repository *config.Repository
	// Adopt hands a record to the control thread that a call begun at asked
	// wrote to the store, or found there.
	Adopt func(record *config.Record, asked time.Time)
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
	s.mux.HandleFunc("GET /v1/changes", s.getChanges)
	s.mux.HandleFunc("GET /v1/changes/{id}", s.getChange)
	s.mux.HandleFunc("GET /v1/fleet", s.getFleet)
	s.mux.HandleFunc("GET /v1/explain", s.getExplanation)
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

// Failure is the body of every refusal of the operators' API.
type Failure struct {
	Type   string `json:"type"`
	Detail string `json:"detail"`
	// Current is the store's version, where it is known.
	Current   uint64        `json:"current_version,omitempty"`
	Conflicts []string      `json:"conflicts,omitempty"`
	Faults    []jsonc.Fault `json:"faults,omitempty"`
	// Forgotten: see config.StaleError.
	Forgotten bool `json:"forgotten,omitempty"`
}

// Types of Failure.
const (
	FailStale       = "stale-version"
	FailReusedID    = "reused-change-id"
	FailInvalid     = "invalid-configuration"
	FailTooLarge    = "too-large"
	FailNotApplied  = "not-applied"
	FailUnknown     = "outcome-unknown"
	FailBadRequest  = "bad-request"
	FailNoSuch      = "no-such-change"
	FailUnavailable = "unavailable"
)

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
