package jsonc

import (
	"fmt"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	// File is the name of the document as given by the caller.
	File string `json:"file,omitempty"`
	// Line starts at 1; 0 means that the line is unknown.
	Line int `json:"line,omitempty"`
	// Path is a JSON pointer (RFC 6901) to the invalid value; "" is the root.
	Path string `json:"path"`
	// Problem describes the error, without its location.
	Problem string `json:"problem"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Problem)
}

// Faults is the error of an invalid document. As an error it is never empty.
type Faults []Fault

func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
