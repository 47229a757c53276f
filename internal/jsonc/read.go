package jsonc

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
