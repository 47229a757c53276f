package suspect

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies equal requests: those that an upstream cannot tell apart but by their ID and
// the time left.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// fingerprintDigits is the number of digits of a fingerprint in logs and settings.
const fingerprintDigits = 16

// FingerprintError reports a text that is no fingerprint.
type FingerprintError struct{ Text string }

func (e *FingerprintError) Error() string {
	return fmt.Sprintf("suspect: %q is no fingerprint of %d hexadecimal digits", e.Text, fingerprintDigits)
}

// ParseFingerprint parses the result of String. The error is a *FingerprintError.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != fingerprintDigits {
		return 0, &FingerprintError{text}
	}
	return Fingerprint(f), nil
}

// Identity is what equal requests have in common.
type Identity struct {
	Service string
	Method  string
	Host    string
	// Target is the path with the query.
	Target   string
	Customer string
	// Object is the affinity key.
	Object string
	// Body is the part of the body that is held before the request is sent, and BodyLength the length
	// of the whole body; -1 if it is unknown.
	Body       []byte
	BodyLength int64
}

// Fingerprint returns the fingerprint of the requests with the identity.
func (i Identity) Fingerprint() Fingerprint {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	for _, part := range []string{i.Service, i.Method, i.Host, i.Target, i.Customer, i.Object} {
		binary.LittleEndian.PutUint64(number[:], uint64(len(part)))
		_, _ = d.Write(number[:])
		_, _ = d.WriteString(part)
	}
	binary.LittleEndian.PutUint64(number[:], uint64(i.BodyLength))
	_, _ = d.Write(number[:])
	_, _ = d.Write(i.Body)
	return Fingerprint(d.Sum64())
}
