// Package telemetry sets up the logs, metrics and traces of a daemon: logs in logfmt
// with one line per event, metrics in the Prometheus text format, and one trace span
// per hop. None of them may contain a customer's API key.
package telemetry
