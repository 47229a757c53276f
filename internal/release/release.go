// Package release identifies the build of a process.
package release

// Number is raised with each release. Logs and metrics state it, since builds may lack the revision of the repository.
const Number = 21
