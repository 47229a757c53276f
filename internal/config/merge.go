package config

import (
	"encoding/json"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"balsambarrow/internal/jsonc"
)

// maxPathDepth exceeds the depth of every path of a configuration.
const maxPathDepth = 16

// Merge applies a JSON Merge Patch (RFC 7396) to a document in plain JSON. The
// error is a jsonc.Faults value.
func Merge(document, patch json.RawMessage) (json.RawMessage, error) {
	doc, err := jsonc.Parse("patch", patch)
	if err != nil {
		return nil, err
	}
	if faults := doc.DuplicateNames(); len(faults) > 0 {
		return nil, faults
	}
	if !json.Valid(patch) {
		return nil, jsonc.Faults{doc.FaultAt("", "want plain JSON")}
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(patch, &object) != nil || object == nil {
		return nil, jsonc.Faults{doc.FaultAt("", "want an object: a patch of another kind replaces the whole configuration")}
	}
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return nil, jsonc.Faults{doc.FaultAt("", err.Error())}
	}
	return merged, nil
}

// conflicts returns the paths written by p that overlap with paths written by
// changes after p.Base.
func (r *Record) conflicts(p Patch) []string {
	var otherPaths []string
	for _, c := range r.Changes {
		if c.Version > p.Base {
			otherPaths = append(otherPaths, c.writtenPaths()...)
		}
	}
	var conflicting []string
	for _, written := range patchPaths(p.Merge, maxPathDepth) {
		if slices.ContainsFunc(otherPaths, func(other string) bool { return overlap(written, other) }) {
			conflicting = append(conflicting, written)
		}
	}
	return conflicting
}

// overlap reports whether two paths are equal or one is a parent of the other.
func overlap(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	return a == b || (len(b) > len(a) && b[:len(a)] == a && b[len(a)] == '/')
}

// patchPaths returns the paths that a merge patch writes, in order and
// truncated to the given depth.
func patchPaths(patch json.RawMessage, depth int) []string {
	var v any
	if json.Unmarshal(patch, &v) != nil {
		return nil
	}
	return appendPatchPaths(nil, v, "", depth)
}

func appendPatchPaths(paths []string, v any, prefix string, depth int) []string {
	object, ok := v.(map[string]any)
	if !ok || depth == 0 {
		return append(paths, prefix)
	}
	for _, name := range slices.Sorted(maps.Keys(object)) {
		paths = appendPatchPaths(paths, object[name], prefix+"/"+jsonc.EscapeToken(name), depth-1)
	}
	return paths
}
