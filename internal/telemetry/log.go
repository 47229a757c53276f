package telemetry

import (
	"io"

	"github.com/charmbracelet/log"
)

// NewLogger returns a logger that writes one key=value line per event to w. level is
// debug, info, warn or error; any other value means info.
func NewLogger(w io.Writer, level string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return log.NewWithOptions(w, log.Options{
		Level:           parsed,
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
	})
}
