package config

import (
	"encoding/json"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"balsambarrow/internal/jsonc"
)

// maxPathDepth is deeper than any path of a configuration.
const maxPathDepth = 16

// Merge applies a JSON Merge Patch (RFC 7396) to a document in plain JSON.
// The error is a jsonc.Faults value.
func Merge(document, merge json.RawMessage) (json.RawMessage, error) {
	doc, err := jsonc.Parse("patch", merge)
	if err != nil {
		return nil, err
	}
	if faults := doc.DuplicateNames(); len(faults) > 0 {
		return nil, faults
	}
	if !json.Valid(merge) {
		return nil, jsonc.Faults{doc.FaultAt("", "want plain JSON")}
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(merge, &object) != nil || object == nil {
		return nil, jsonc.Faults{doc.FaultAt("", "want an object: a patch of another kind replaces the whole configuration")}
	}
	merged, err := jsonpatch.MergePatch(document, merge)
	if err != nil {
		return nil, jsonc.Faults{doc.FaultAt("", err.Error())}
	}
	return merged, nil
}

// conflicts lists the paths that p writes and that a change after p.Base
// wrote too, itself or a parent or child of it.
func (r *Record) conflicts(p Patch) []string {
	var theirs []string
	for _, c := range r.Changes {
		if c.Version > p.Base {
			theirs = append(theirs, c.wrote()...)
		}
	}
	var out []string
	for _, mine := range leaves(p.Merge, maxPathDepth) {
		if slices.ContainsFunc(theirs, func(t string) bool { return related(mine, t) }) {
			out = append(out, mine)
		}
	}
	return out
}

func related(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	return a == b || (len(b) > len(a) && b[:len(a)] == a && b[len(a)] == '/')
}

// leaves lists the paths a merge patch writes, in order, cut off at depth.
func leaves(merge json.RawMessage, depth int) []string {
	var v any
	if json.Unmarshal(merge, &v) != nil {
		return nil
	}
	return appendLeaves(nil, v, "", depth)
}

func appendLeaves(out []string, v any, at string, depth int) []string {
	object, ok := v.(map[string]any)
	if !ok || depth == 0 {
		return append(out, at)
	}
	for _, name := range slices.Sorted(maps.Keys(object)) {
		out = appendLeaves(out, object[name], at+"/"+jsonc.EscapeToken(name), depth-1)
	}
	return out
}
