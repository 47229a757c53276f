// Package jsonc decodes JSON with comments into typed values and reports all faults of
// a document at once, each with its path and line.
//
// encoding/json stops at the first fault, accepts duplicate names and does not report
// lines. An operator would have to correct a file and submit it again for each single
// fault, so this package checks the whole syntax tree instead.
package jsonc
