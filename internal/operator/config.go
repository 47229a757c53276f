package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/kv"
)

// ConfigResponse is the body of a successful GET or PATCH /v1/config.
type ConfigResponse struct {
	// Version is the stored version; for PATCH, the version that the change
	// created.
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document"`
}

// ChangesResponse is the body of a successful GET /v1/changes.
type ChangesResponse struct {
	// Version is the stored version.
	Version uint64 `json:"version"`
	// Changes are the recent changes, newest last.
	Changes []config.Change `json:"changes"`
}

func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	rec, err := s.load(r.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailureUnavailable, Detail: err.Error()})
		return
	}
	answerConfig(w, rec.Version, rec.Document)
}

func (s *Server) load(ctx context.Context) (*config.Record, error) {
	rec, _, err := s.Repository.Load(ctx)
	if err == nil && rec == nil {
		rec = &config.Record{Document: json.RawMessage(`{}`)}
	}
	return rec, err
}

func answerConfig(w http.ResponseWriter, version uint64, document json.RawMessage) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
	answer(w, http.StatusOK, ConfigResponse{Version: version, Document: document})
}

func (s *Server) patchConfig(w http.ResponseWriter, r *http.Request) {
	asked := time.Now()
	patch, failure := readPatch(w, r)
	if failure != nil {
		fail(w, badPatchStatus(failure.Type), *failure)
		return
	}
	patch.Floor = s.View.Load().Self.ConfigVersion
	// The write goes on if the operator's connection breaks: it is settled
	// by its change id either way.
	applied, err := s.Repository.Apply(context.WithoutCancel(r.Context()), patch)
	if err != nil {
		failApply(w, err)
		return
	}
	s.ApplyRecord(applied.Record, asked)
	answerConfig(w, applied.Version, applied.Record.Document)
}

func readPatch(w http.ResponseWriter, r *http.Request) (config.Patch, *Failure) {
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get(HeaderIfMatch), `"`), 10, 64)
	if err != nil {
		return config.Patch{}, &Failure{Type: FailureBadRequest, Detail: `If-Match: want the version the change was built on, as "7"`}
	}
	id, err := uuid.Parse(r.Header.Get(HeaderChangeID))
	if err != nil {
		return config.Patch{}, &Failure{Type: FailureBadRequest, Detail: HeaderChangeID + ": want a UUID"}
	}
	merge, err := io.ReadAll(http.MaxBytesReader(w, r.Body, kv.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return config.Patch{}, &Failure{Type: FailureTooLarge, Detail: "the patch is larger than the store takes"}
	case err != nil:
		return config.Patch{}, &Failure{Type: FailureBadRequest, Detail: "the patch broke off"}
	}
	return config.Patch{ChangeID: id.String(), Base: base, Merge: merge}, nil
}

func badPatchStatus(kind string) int {
	if kind == FailureTooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func failApply(w http.ResponseWriter, err error) {
	var stale *config.StaleError
	var reused *config.ReusedIDError
	var tooLarge *config.TooLargeError
	var faults jsonc.Faults
	switch {
	case errors.As(err, &stale):
		fail(w, http.StatusConflict, Failure{
			Type: FailureStaleVersion, Detail: err.Error(), CurrentVersion: stale.Current,
			Conflicts: stale.Conflicts, HistoryTruncated: stale.Forgotten,
		})
	case errors.As(err, &reused):
		fail(w, http.StatusConflict, Failure{Type: FailureReusedChangeID, Detail: err.Error()})
	case errors.As(err, &tooLarge):
		fail(w, http.StatusRequestEntityTooLarge, Failure{Type: FailureTooLarge, Detail: err.Error()})
	case errors.As(err, &faults):
		fail(w, http.StatusUnprocessableEntity, Failure{Type: FailureInvalidConfig, Detail: "nothing was changed", Faults: faults})
	case errors.Is(err, config.ErrOutcomeUnknown):
		fail(w, http.StatusGatewayTimeout, Failure{Type: FailureOutcomeUnknown, Detail: "ask GET /v1/changes/<id>"})
	default:
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailureNotApplied, Detail: err.Error()})
	}
}

func (s *Server) getChanges(w http.ResponseWriter, r *http.Request) {
	rec, err := s.load(r.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailureUnavailable, Detail: err.Error()})
		return
	}
	answer(w, http.StatusOK, ChangesResponse{Version: rec.Version, Changes: rec.Changes})
}

// getChange answers 404 with the current version where no recent change has
// the id. A change based on that version may still take effect; one based on
// a lower version did not, or is forgotten.
func (s *Server) getChange(w http.ResponseWriter, r *http.Request) {
	rec, err := s.load(r.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailureUnavailable, Detail: err.Error()})
		return
	}
	change, err := rec.Find(r.PathValue("id"))
	if err != nil {
		fail(w, http.StatusNotFound, Failure{Type: FailureNoSuchChange, Detail: err.Error(), CurrentVersion: rec.Version})
		return
	}
	answer(w, http.StatusOK, change)
}
