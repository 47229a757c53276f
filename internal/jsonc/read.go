package jsonc

// Read fills a T from the text of a file with comments, completes it and looks
// for faults of its own; all faults are reported together, as a Faults error.
// name appears in each.
func Read[T any](name string, text []byte, complete func(*T), check func(*T, *Document) Faults) (*T, error) {
	doc, err := Parse(name, text)
	if err != nil {
		return nil, err
	}
	value := new(T)
	faults, filled := doc.DecodeFaults(value)
	if !filled {
		return nil, faults
	}
	complete(value)
	if faults = append(faults, check(value, doc)...); len(faults) > 0 {
		return nil, faults
	}
	return value, nil
}
