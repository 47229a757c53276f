package compare_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/compare"
)

// bench writes a program that reports the seed as the figure, and one more in checkouts
// named after.
func bench(t *testing.T, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "bench")
	if err := os.WriteFile(path, []byte("#!/bin/sh\n"+body), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

func plan(t *testing.T, body string) compare.Plan {
	t.Helper()
	before, after := filepath.Join(t.TempDir(), "before"), filepath.Join(t.TempDir(), "after")
	for _, dir := range []string{before, after} {
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return compare.Plan{
		Bench: bench(t, body), Versions: []string{before, after}, Jobs: 2, Seeds: []int{1, 2, 3},
		Deployments: []compare.Deployment{{File: "x/one.toml", Days: []string{"calm"}}},
	}
}

func TestPlaysBothVersionsOnTheSameSeeds(t *testing.T) {
	g := NewWithT(t)
	p := plan(t, `extra=0; case "$PWD" in */after) extra=1;; esac
echo "{\"G\": $(($5 + extra)), \"fault\": null, \"breaks\": {\"LOST\": 2}}" > "$7"
`)
	plays, err := p.Run(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	before, after := plays[p.Versions[0]], plays[p.Versions[1]]
	s := compare.Summarize(before, after)
	g.Expect(s[0]).To(Equal(compare.Summary{Deployment: "one", Day: "calm", Pairs: 3, Before: 2, After: 3, Difference: 1, Improved: 3}))
	g.Expect(after[0].BrokenRules).To(Equal([]string{"LOST"}))
}

// Guards against a play that failed and is taken for one worth nothing.
func TestAPlayWithoutAReportEndsTheComparison(t *testing.T) {
	for name, body := range map[string]string{
		"the program fails": "echo no such day; exit 2\n", "no figure": `echo '{}' > "$7"` + "\n", "no JSON": `echo text > "$7"` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := plan(t, body).Run(context.Background())
			var wrong *compare.ReportError
			g.Expect(errors.As(err, &wrong)).To(BeTrue())
			g.Expect(wrong.Run.Day).To(Equal("calm"))
		})
	}
}

func TestSitesThatCannotBeRead(t *testing.T) {
	for _, text := range []string{"", "file.toml", "file.toml:", ":day", "file.toml:day,"} {
		_, err := compare.ParseDeployment(text)
		var wrong *compare.DeploymentError
		NewWithT(t).Expect(errors.As(err, &wrong)).To(BeTrue(), text)
	}
}
