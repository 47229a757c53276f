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

// Deps are the dependencies of a Server.
type Deps struct {
	View       *view.Publisher
	Repository *config.Repository
	// ApplyRecord passes a record to the daemon's control thread. The record was
	// written to the store, or read from it, by a call that started at sentAt.
	ApplyRecord func(record *config.Record, sentAt time.Time)
	// Metrics is the metrics set of this daemon.
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
	s.mux.HandleFunc("GET /readyz", s.getReadiness)
	s.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Failure is the body of every error response of the operators' API.
type Failure struct {
	Type   string `json:"type"`
	Detail string `json:"detail"`
	// CurrentVersion is the stored version, or 0 if unknown.
	CurrentVersion uint64        `json:"current_version,omitempty"`
	Conflicts      []string      `json:"conflicts,omitempty"`
	Faults         []jsonc.Fault `json:"faults,omitempty"`
	// HistoryTruncated is explained at config.StaleError.
	HistoryTruncated bool `json:"forgotten,omitempty"`
}

// Values of Failure.Type.
const (
	FailureStaleVersion   = "stale-version"
	FailureReusedChangeID = "reused-change-id"
	FailureInvalidConfig  = "invalid-configuration"
	FailureTooLarge       = "too-large"
	FailureNotApplied     = "not-applied"
	FailureOutcomeUnknown = "outcome-unknown"
	FailureBadRequest     = "bad-request"
	FailureNoSuchChange   = "no-such-change"
	FailureUnavailable    = "unavailable"
)

func (s *Server) getReadiness(w http.ResponseWriter, _ *http.Request) {
	if s.View.Load().Self.State != membership.StateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeFailure(w http.ResponseWriter, status int, f Failure) { writeJSON(w, status, f) }
