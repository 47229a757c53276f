package soak

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ageSampleInterval is the time between two samples of the age of each host's configuration.
const ageSampleInterval = 200 * time.Millisecond

// sampleAges records the hosts whose configuration has a negative age, until stop is closed.
func (c *cluster) sampleAges(stop <-chan struct{}) {
	client := &http.Client{Timeout: ageSampleInterval}
	for !sleepUntil(stop, ageSampleInterval) {
		for _, h := range c.processes {
			if age, ok := configurationAge(client, h.metrics); ok && age < 0 {
				c.futureConfirmations = append(c.futureConfirmations, h.name)
			}
		}
	}
}

// configurationAge returns the age in seconds that a host reports; false if it does not respond.
func configurationAge(client *http.Client, address string) (seconds float64, ok bool) {
	resp, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "balsambarrow_configuration_age_seconds "); found {
			seconds, err = strconv.ParseFloat(value, 64)
			return seconds, err == nil
		}
	}
	return 0, false
}

// checkAges checks that no host considered its configuration confirmed as of a time in the future.
// Such a host accepts withdrawn keys for as long as it is cut off.
func (c *cluster) checkAges() {
	if n := len(c.futureConfirmations); n > 0 {
		c.reporter.Errorf("%d samples of a configuration that is confirmed as of the future, the first at %s", n, c.futureConfirmations[0])
	}
}
