package header

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The status codes that HTTP allows (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// StatusError reports a status code that HTTP does not have.
type StatusError struct{ Code int }

func (e *StatusError) Error() string { return fmt.Sprintf("header: invalid status code %03d", e.Code) }

// NameError reports a field name that is not a token (RFC 9110, section 5.1).
type NameError struct{ Name string }

func (e *NameError) Error() string { return fmt.Sprintf("header: invalid field name %q", e.Name) }

// CheckResponse checks the status code and the header of a response, which net/http accepts with any three digits and with
// blanks in field names. The error is a *StatusError or a *NameError.
func CheckResponse(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return &StatusError{r.StatusCode}
	}
	return CheckNames(r.Header)
}

// CheckNames returns a *NameError if a field name is not a token. A field whose name has a blank before the colon means
// something else to each recipient, the framing of the body included (RFC 9112, section 5.1).
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &NameError{name}
		}
	}
	return nil
}

// CheckTrailer makes the body of a response end with a *NameError instead of io.EOF if a field name of its trailer is not
// a token.
func CheckTrailer(r *http.Response) {
	if r.Body != http.NoBody {
		r.Body = trailerBody{r.Body, r}
	}
}

// trailerBody is a body whose trailer is checked.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := CheckNames(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
