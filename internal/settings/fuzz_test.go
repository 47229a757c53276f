package settings_test

import (
	"testing"

	"balsambarrow/internal/settings"
)

// FuzzParse checks that any file content results in settings within their bounds or
// in an error, never in a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse("fuzz", text)
		if err != nil {
			return
		}
		bounded := s.Limits.MaxBodyBytes > 0 && s.Limits.MaxHeaderBytes > 0 && s.ShutdownTimeout() > 0 && s.PlatformTimeout() > 0
		if s.Host == "" || s.Zone == "" || !bounded {
			t.Fatalf("accepted %q as %+v", text, s)
		}
	})
}
