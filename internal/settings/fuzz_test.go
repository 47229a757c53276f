package settings_test

import (
	"testing"

	"balsambarrow/internal/settings"
)

// An operator may write anything into the file: reading it must end in
// settings that are within their bounds or in a fault, never in a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
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
