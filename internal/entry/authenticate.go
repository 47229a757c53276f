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

// authenticate looks up the customer that owns the API key of the request. It
// returns a call that names the customer and does not contain the key.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request, snap *view.Snapshot) (*wire.Call, *wire.Problem) {
	if !snap.Current(time.Now()) {
		return nil, noConfigurationProblem()
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := config.DigestOf(strings.TrimSpace(key))
	owner, found := snap.Config.Owner(digest)
	if !ok || !found {
		return nil, wire.NotRunProblem(wire.TypeUnknownKey, "no customer has this key", 0)
	}
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/svc/"), "/")
	serviceConfig, ok := snap.Config.Config.Services[service]
	if !ok {
		return nil, wire.NotRunProblem(wire.TypeUnknownService, "there is no service of this name", 0)
	}
	if !snap.Config.Allows(owner.Customer, service) {
		return nil, wire.NotRunProblem(wire.TypeForbidden, "the customer may not call this service", 0)
	}
	if problem := checkStaleness(snap, owner.Customer); problem != nil {
		return nil, problem
	}
	deadline, problem := requestDeadline(r, serviceConfig)
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

// recheckKey rejects a call whose key was withdrawn after authentication, while the
// call was queued for its customer's rate. It checks the current configuration
// version instead of the version at authentication. The handler checks the key
// again with its own version, so the call is rejected if either daemon has
// received the withdrawal.
func (s *Server) recheckKey(call *wire.Call) *wire.Problem {
	digest, ok := config.ParseDigest(call.KeyDigest)
	if ok && s.View.Load().OwnsKey(digest, call.Customer) {
		return nil
	}
	return wire.NotRunProblem(wire.TypeUnknownKey, "the key was withdrawn", 0)
}

// checkStaleness rejects requests of a customer with a staleness limit if the
// configuration was not confirmed within that limit. Operators set the limit for
// customers that prefer rejection to service with an outdated configuration.
func checkStaleness(snap *view.Snapshot, customer string) *wire.Problem {
	limit := snap.Config.Config.Customers[customer].MaxStalenessMs
	if limit > 0 && time.Since(snap.ConfirmedAt) > time.Duration(limit)*time.Millisecond {
		return wire.NotRunProblem(wire.TypeNoConfiguration, "the configuration is older than the customer allows", time.Second)
	}
	return nil
}

// requestDeadline returns the deadline of a request: now plus the timeout of the
// service, or the caller's timeout if that is shorter.
func requestDeadline(r *http.Request, service config.Service) (time.Time, *wire.Problem) {
	budget := time.Duration(service.TimeoutMs) * time.Millisecond
	if text := r.Header.Get(wire.HeaderTimeoutMs); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return time.Time{}, wire.NotRunProblem(wire.TypeBadRequest, wire.HeaderTimeoutMs+": want a positive number of milliseconds", 0)
		}
		budget = time.Duration(min(ms, service.TimeoutMs)) * time.Millisecond
	}
	return time.Now().Add(budget), nil
}
