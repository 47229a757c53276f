package ctl

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const logOfHost1 = `time=2026-01-02T10:00:00.000Z level=info host=h1 msg="configuration in force" version=4
time=2026-01-02T10:00:01.000Z level=warn host=h1 msg="store lost" error="no answer: x" age=900ms
panic: not a key=value line
time=2026-01-02T10:00:04.000Z level=info host=h1 msg=refused id=abc status=503 cause=keys-not-confirmed
time=2026-01-02T10:00:05.000Z level=info host=h1 msg="store regained" version=4
time=2026-01-02T10:00:06.000Z level=info host=h1 msg=refused id=other status=429 cause=over-rate
`

const logOfHost2 = `time=2026-01-02T10:00:04.500Z level=info host=h2 msg="upstream failed" id=abc upstream=i-1 status=500
`

// A request is refused by one host and then fails at another host. The output must
// merge the lines of both logs and show the known state of the first host.
func TestWhyMergesLogsOfHosts(t *testing.T) {
	g := NewWithT(t)
	events, err := readEvents(strings.NewReader(logOfHost2 + logOfHost1))
	g.Expect(err).NotTo(HaveOccurred())
	found := requestEvents(events, "abc")
	g.Expect(found).To(HaveLen(2))
	var out bytes.Buffer
	g.Expect(printEvents(&out, found)).To(Succeed())
	g.Expect(out.String()).To(Equal(`10:00:04.000  h1  refused  status=503 cause=keys-not-confirmed
    4s before: configuration in force  version=4
    3s before: store lost  error=no answer: x age=900ms
10:00:04.500  h2  upstream failed  upstream=i-1 status=500
`))
}
