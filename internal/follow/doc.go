// Package follow keeps up with keys of the platform's store: it lists a prefix,
// watches it on from there, and lists again when the history is gone. What the
// changes mean is for the sink to say.
package follow
