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
	rec, err := s.loadRecord(r.Context())
	if err != nil {
		writeFailure(w, http.StatusServiceUnavailable, Failure{Type: FailureUnavailable, Detail: err.Error()})
		return
	}
	writeConfig(w, rec.Version, rec.Document)
}

func (s *Server) loadRecord(ctx context.Context) (*config.Record, error) {
	rec, _, err := s.Repository.Load(ctx)
	if err == nil && rec == nil {
		rec = &config.Record{Document: json.RawMessage(`{}`)}
	}
	return rec, err
}

func writeConfig(w http.ResponseWriter, version uint64, document json.RawMessage) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
	writeJSON(w, http.StatusOK, ConfigResponse{Version: version, Document: document})
}

func (s *Server) patchConfig(w http.ResponseWriter, r *http.Request) {
	sentAt := time.Now()
	patch, failure := readPatch(w, r)
	if failure != nil {
		writeFailure(w, patchErrorStatus(failure.Type), *failure)
		return
	}
	patch.ActiveVersion = s.View.Load().Self.ConfigVersion
	// The write continues if the operator's connection breaks. In either case
	// the operator can query its outcome by the change id.
	applied, err := s.Repository.Apply(context.WithoutCancel(r.Context()), patch)
	if err != nil {
		writeApplyError(w, err)
		return
	}
	s.ApplyRecord(applied.Record, sentAt)
	writeConfig(w, applied.Version, applied.Record.Document)
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

func patchErrorStatus(failureType string) int {
	if failureType == FailureTooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func writeApplyError(w http.ResponseWriter, err error) {
	var stale *config.StaleError
	var reused *config.ReusedIDError
	var tooLarge *config.TooLargeError
	var faults jsonc.Faults
	switch {
	case errors.As(err, &stale):
		writeFailure(w, http.StatusConflict, Failure{
			Type: FailureStaleVersion, Detail: err.Error(), CurrentVersion: stale.Current,
			Conflicts: stale.Conflicts, HistoryTruncated: stale.HistoryTruncated,
		})
	case errors.As(err, &reused):
		writeFailure(w, http.StatusConflict, Failure{Type: FailureReusedChangeID, Detail: err.Error()})
	case errors.As(err, &tooLarge):
		writeFailure(w, http.StatusRequestEntityTooLarge, Failure{Type: FailureTooLarge, Detail: err.Error()})
	case errors.As(err, &faults):
		writeFailure(w, http.StatusUnprocessableEntity, Failure{Type: FailureInvalidConfig, Detail: "nothing was changed", Faults: faults})
	case errors.Is(err, config.ErrOutcomeUnknown):
		writeFailure(w, http.StatusGatewayTimeout, Failure{Type: FailureOutcomeUnknown, Detail: "ask GET /v1/changes/<id>"})
	default:
		writeFailure(w, http.StatusServiceUnavailable, Failure{Type: FailureNotApplied, Detail: err.Error()})
	}
}

func (s *Server) getChanges(w http.ResponseWriter, r *http.Request) {
	rec, err := s.loadRecord(r.Context())
	if err != nil {
		writeFailure(w, http.StatusServiceUnavailable, Failure{Type: FailureUnavailable, Detail: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, ChangesResponse{Version: rec.Version, Changes: rec.Changes})
}

// getChange responds with 404 and the stored version if no recent change has
// the id. A change that is based on that version may still take effect. A change
// that is based on a lower version was not applied, or is no longer in the
// recent history.
func (s *Server) getChange(w http.ResponseWriter, r *http.Request) {
	rec, err := s.loadRecord(r.Context())
	if err != nil {
		writeFailure(w, http.StatusServiceUnavailable, Failure{Type: FailureUnavailable, Detail: err.Error()})
		return
	}
	change, err := rec.Find(r.PathValue("id"))
	if err != nil {
		writeFailure(w, http.StatusNotFound, Failure{Type: FailureNoSuchChange, Detail: err.Error(), CurrentVersion: rec.Version})
		return
	}
	writeJSON(w, http.StatusOK, change)
}
