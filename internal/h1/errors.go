package h1

import "fmt"

// UnsentError says that no byte of the request reached the upstream, nor will.
type UnsentError struct {
	Address string
	// Dial says that no connection could be made.
	Dial  bool
	Cause error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("h1: nothing sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// LostError says that the request was sent, at least in part, and that no
// usable answer came: it may have run, or may still run.
type LostError struct {
	Address string
	// Kept says that the connection had been used before.
	Kept  bool
	Cause error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("h1: answer of %s lost: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// SpoiledError is the cause of a LostError: bytes came that are not the
// answer.
type SpoiledError struct{ Problem string }

func (e *SpoiledError) Error() string { return "spoiled answer: " + e.Problem }
