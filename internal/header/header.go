// Package header parses the values of HTTP headers.
package header

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ValueError reports a header whose value cannot be used.
type ValueError struct {
	Header string
	Value  string
}

func (e *ValueError) Error() string {
	return "header: " + e.Header + ": invalid value " + strconv.Quote(e.Value)
}

// Number parses a header that holds a single number of at least 0. A number beyond the range of
// a float64 is infinite. present is false if the header is missing. The error is a *ValueError.
func Number(h http.Header, name string) (x float64, present bool, err error) {
	values := h.Values(name)
	if len(values) == 0 {
		return 0, false, nil
	}
	x, err = strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	outOfRange := errors.Is(err, strconv.ErrRange)
	switch {
	case len(values) > 1, err != nil && !outOfRange, math.IsInf(x, 0) && !outOfRange, math.IsNaN(x), x < 0:
		return 0, true, newValueError(name, values)
	}
	return x, true, nil
}

// Bool parses a header that holds a single boolean; false if the header is missing. The error is
// a *ValueError.
func Bool(h http.Header, name string) (bool, error) {
	values := h.Values(name)
	if len(values) == 0 {
		return false, nil
	}
	x, err := strconv.ParseBool(strings.TrimSpace(values[0]))
	if len(values) > 1 || err != nil {
		return false, newValueError(name, values)
	}
	return x, nil
}

func newValueError(name string, values []string) error {
	return &ValueError{name, strings.Join(values, ", ")}
}
