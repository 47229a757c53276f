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

// ConfigAnswer is the body of GET and PATCH /v1/config.
type ConfigAnswer struct {
	// Version is the store's, or the one that the change made.
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document"`
}

// ChangesAnswer is the body of GET /v1/changes.
type ChangesAnswer struct {
	// Version is the store's.
	Version uint64 `json:"version"`
	// Changes are the recent ones, newest last.
	Changes []config.Change `json:"changes"`
}

func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	rec, err := s.load(r.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailUnavailable, Detail: err.Error()})
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
	answer(w, http.StatusOK, ConfigAnswer{Version: version, Document: document})
}

func (s *Server) patchConfig(w http.ResponseWriter, r *http.Request) {
	asked := time.Now()
	patch, failure := readPatch(w, r)
	if failure != nil {
		fail(w, badPatchStatus(failure.Type), *failure)
		return
	}
	patch.ActiveVersion = s.View.Load().Self.ConfigVersion
	// The write goes on if the operator's connection breaks: it is settled
	// by its change id either way.
	applied, err := s.Repository.Apply(context.WithoutCancel(r.Context()), patch)
	if err != nil {
		failApply(w, err)
		return
	}
	s.Adopt(applied.Record, asked)
	answerConfig(w, applied.Version, applied.Record.Document)
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
	merge, err := io.ReadAll(http.MaxBytesReader(w, r.Body, kv.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return config.Patch{}, &Failure{Type: FailTooLarge, Detail: "the patch is larger than the store takes"}
	case err != nil:
		return config.Patch{}, &Failure{Type: FailBadRequest, Detail: "the patch broke off"}
	}
	return config.Patch{ChangeID: id.String(), Base: base, Merge: merge}, nil
}

func badPatchStatus(kind string) int {
	if kind == FailTooLarge {
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
			Type: FailStale, Detail: err.Error(), Current: stale.Current,
			Conflicts: stale.Conflicts, Forgotten: stale.HistoryTruncated,
		})
	case errors.As(err, &reused):
		fail(w, http.StatusConflict, Failure{Type: FailReusedID, Detail: err.Error()})
	case errors.As(err, &tooLarge):
		fail(w, http.StatusRequestEntityTooLarge, Failure{Type: FailTooLarge, Detail: err.Error()})
	case errors.As(err, &faults):
		fail(w, http.StatusUnprocessableEntity, Failure{Type: FailInvalid, Detail: "nothing was changed", Faults: faults})
	case errors.Is(err, config.ErrOutcomeUnknown):
		fail(w, http.StatusGatewayTimeout, Failure{Type: FailUnknown, Detail: "ask GET /v1/changes/<id>"})
	default:
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailNotApplied, Detail: err.Error()})
	}
}

func (s *Server) getChanges(w http.ResponseWriter, r *http.Request) {
	rec, err := s.load(r.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailUnavailable, Detail: err.Error()})
		return
	}
	answer(w, http.StatusOK, ChangesAnswer{Version: rec.Version, Changes: rec.Changes})
}

// getChange answers 404 with the current version where no recent change has
// the id. A change based on that version may still take effect; one based on
// a lower version did not, or is forgotten.
func (s *Server) getChange(w http.ResponseWriter, r *http.Request) {
	rec, err := s.load(r.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, Failure{Type: FailUnavailable, Detail: err.Error()})
		return
	}
	change, err := rec.Find(r.PathValue("id"))
	if err != nil {
		fail(w, http.StatusNotFound, Failure{Type: FailNoSuch, Detail: err.Error(), Current: rec.Version})
		return
	}
	answer(w, http.StatusOK, change)
}
