package h1

import "fmt"

// UnsentError says that no byte of the request reached the upstream, nor will.
type UnsentError struct {
	Address string
	// DialFailed says that no connection could be made.
	DialFailed bool
	Cause      error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("h1: nothing sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// NoResponseError says that the request was sent, at least in part, and that no
// usable answer came: it may have run, or may still run.
type NoResponseError struct {
	Address string
	// Reused says that the connection had been used before.
	Reused bool
	Cause  error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("h1: answer of %s lost: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// InvalidResponseError is the cause of a NoResponseError: bytes came that are not the
// answer.
type InvalidResponseError struct{ Problem string }

func (e *InvalidResponseError) Error() string { return "spoiled answer: " + e.Problem }
