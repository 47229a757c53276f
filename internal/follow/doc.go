// Package follow keeps a local copy of a key prefix of the platform's key-value
// store up to date: it lists the prefix, watches it from the listed revision, and
// lists it again when the store has compacted the history. A Sink interprets the
// listings and changes.
//
// The package also holds the state that lets hosts exchange store changes among
// themselves: a digest of the known entries, a journal of recent changes, and the
// latest revision seen of each key.
package follow
