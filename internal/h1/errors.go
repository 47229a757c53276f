package h1

import "fmt"

// UnsentError means that no byte of the request has reached the upstream, and none
// will.
type UnsentError struct {
	Address string
	// DialFailed is set if no connection could be established.
	DialFailed bool
	Cause      error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("h1: request not sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// NoResponseError means that the request was sent, at least in part, and no usable
// response arrived: the request may have run, or may still run.
type NoResponseError struct {
	Address string
	// Reused is set if the connection was not opened for the request.
	Reused bool
	Cause  error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("h1: no usable response from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// InvalidResponseError means that bytes arrived that are not a valid response to
// the request. It is the cause of a NoResponseError.
type InvalidResponseError struct{ Problem string }

func (e *InvalidResponseError) Error() string { return "invalid response: " + e.Problem }
