package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/view"
	"balsambarrow/internal/wire"
)

// authenticate finds whose key came with the request and makes a call that
// bears the customer instead of the key.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request, snap *view.Snapshot) (*wire.Call, *wire.Problem) {
	if !snap.Current(time.Now()) {
		return nil, noConfiguration()
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := config.DigestOf(strings.TrimSpace(key))
	owner, known := snap.Config.Owner(digest)
	if !ok || !known {
		return nil, wire.NotRunProblem(wire.TypeUnknownKey, "no customer has this key", 0)
	}
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/svc/"), "/")
	sv, ok := snap.Config.Config.Services[service]
	if !ok {
		return nil, wire.NotRunProblem(wire.TypeUnknownService, "there is no service of this name", 0)
	}
	if !snap.Config.Allows(owner.Customer, service) {
		return nil, wire.NotRunProblem(wire.TypeForbidden, "the customer may not call this service", 0)
	}
	if stale := staleness(snap, owner.Customer); stale != nil {
		return nil, stale
	}
	deadline, problem := deadlineOf(r, sv)
	if problem != nil {
		return nil, problem
	}
	body, err := wire.ReadBody(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes), r.ContentLength)
	if err != nil {
		return nil, wire.NotRunProblem(wire.TypeTooLarge, "body broke off or is too large", 0)
	}
	call := &wire.Call{
		Service: service, Path: "/" + path, RawQuery: r.URL.RawQuery, Method: r.Method,
		Header: r.Header.Clone(), Body: body,
		Customer: owner.Customer, KeyDigest: digest.String(), Deadline: deadline,
	}
	wire.SanitizeRequestHeaders(call.Header)
	return call, nil
}

// recheckKey refuses a call whose key was withdrawn after it was admitted,
// while it waited for the customer's rate: it asks the version in force now,
// not the one of the admission. The handler asks again by its own version, so
// whichever of the two daemons knows of the withdrawal refuses.
func (s *Server) recheckKey(call *wire.Call) *wire.Problem {
	digest, ok := config.ParseDigest(call.KeyDigest)
	if ok && s.View.Load().OwnsKey(digest, call.Customer) {
		return nil
	}
	return wire.NotRunProblem(wire.TypeUnknownKey, "the key was withdrawn", 0)
}

// staleness refuses a customer whose operators prefer refusal to serving by a
// configuration that may be out of date.
func staleness(snap *view.Snapshot, customer string) *wire.Problem {
	limit := snap.Config.Config.Customers[customer].MaxStalenessMs
	if limit > 0 && time.Since(snap.ConfirmedAt) > time.Duration(limit)*time.Millisecond {
		return wire.NotRunProblem(wire.TypeNoConfiguration, "the configuration is older than the customer allows", time.Second)
	}
	return nil
}

func deadlineOf(r *http.Request, sv config.Service) (time.Time, *wire.Problem) {
	budget := time.Duration(sv.TimeoutMs) * time.Millisecond
	if text := r.Header.Get(wire.HeaderTimeoutMs); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return time.Time{}, wire.NotRunProblem(wire.TypeBadRequest, wire.HeaderTimeoutMs+": want a positive number of milliseconds", 0)
		}
		budget = time.Duration(min(ms, sv.TimeoutMs)) * time.Millisecond
	}
	return time.Now().Add(budget), nil
}
