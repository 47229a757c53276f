package jsonc_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/jsonc"
)

// Guards against a process that reads a settings file of any length into memory, also at a reload.
func TestLongFileIsAFault(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	g.Expect(os.WriteFile(path, []byte(strings.Repeat(" ", 1<<20)), 0o600)).To(Succeed())
	text, err := jsonc.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(HaveLen(1 << 20))
	g.Expect(os.Truncate(path, 1<<30)).To(Succeed())
	_, err = jsonc.ReadFile(path)
	g.Expect(err).To(BeAssignableToTypeOf(jsonc.Faults{}))
	g.Expect(err).To(MatchError(ContainSubstring(path + ":1:")))
	_, err = jsonc.ReadFile(path + "x")
	g.Expect(err).To(MatchError(os.ErrNotExist))
}
