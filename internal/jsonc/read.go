package jsonc

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
)

// maxFileBytes bounds a file of settings.
const maxFileBytes = 1 << 20

// ReadFile returns the text of a file of settings. The error is a Faults value if the file is too
// long.
func ReadFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read settings")
	case len(text) > maxFileBytes:
		return nil, Faults{{File: path, Line: 1, Problem: fmt.Sprintf("longer than %d bytes", maxFileBytes)}}
	}
	return text, nil
}

// Read decodes the text of a file into a T, applies defaults with complete and
// validates the result with check. The error is a Faults value with all faults; name
// is the file name in each.
func Read[T any](name string, text []byte, applyDefaults func(*T), check func(*T, *Document) Faults) (*T, error) {
	doc, err := Parse(name, text)
	if err != nil {
		return nil, err
	}
	value := new(T)
	faults, decoded := doc.DecodeFaults(value)
	if !decoded {
		return nil, faults
	}
	applyDefaults(value)
	if faults = append(faults, check(value, doc)...); len(faults) > 0 {
		return nil, faults
	}
	return value, nil
}
