package daemon_test

import (
	"fmt"
	"maps"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/daemon"
)

// countingConn counts the bytes read and written on a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// TestMeasureControl measures the cost of the control plane per idle daemon, for
// several fleet sizes; docs/CAPACITY.md uses the results. All daemons run in this
// process, and so does the stand-in platform, whose CPU time is included.
func TestMeasureControl(t *testing.T) {
	requireMeasureEnv(t)
	const length = 10 * time.Second
	for _, n := range []int{10, 20, 40, 80} {
		t.Run(fmt.Sprintf("daemons=%d", n), func(t *testing.T) {
			f := newFleet(t)
			f.network.countBytes = true
			before := heapInUse()
			f.startMany(n)
			time.Sleep(3 * time.Second)
			calls, bytes, cpu := f.platform.Calls(), f.network.bytes.Load(), cpuTime()
			time.Sleep(length)
			after := f.platform.Calls()
			perSecond := func(v float64) float64 { return v / length.Seconds() }
			t.Logf("per daemon: %.0f B/s with peers, %.3f%% of a core, %.0f KB; store calls per second in total:",
				perSecond(float64(f.network.bytes.Load()-bytes))/float64(n),
				100*perSecond((cpuTime()-cpu).Seconds())/float64(n), float64(heapInUse()-before)/1024/float64(n))
			for _, kind := range slices.Sorted(maps.Keys(after)) {
				t.Logf("    %-12s %.1f", kind, perSecond(float64(after[kind]-calls[kind])))
			}
		})
	}
}

// startMany starts n daemons in six zones and waits until they are ready and all
// know each other.
func (f *fleet) startMany(n int) []*daemon.Daemon {
	c := &config.Config{
		Regions:   map[string]config.Region{"vt": {}, "me": {}, "ma": {}},
		Zones:     map[string]config.Zone{},
		Services:  map[string]config.Service{"lookup": {}, "posting": {}, "report": {}},
		Upstreams: map[string]config.Upstream{},
		Customers: map[string]config.Customer{},
	}
	for i := range 8 {
		name := fmt.Sprintf("c%d", i)
		c.Customers[name] = customer(name, 100, 50)
	}
	zones := []string{"vt-a", "vt-b", "me-a", "me-b", "ma-a", "ma-b"}
	for _, zone := range zones {
		c.Zones[zone] = config.Zone{Region: regionOf(zone), Slots: max(4, n/len(zones)+1)}
	}
	for i, service := range []string{"lookup", "posting", "report"} {
		for j, zone := range zones {
			name := fmt.Sprintf("%s-%d", service, j)
			c.Upstreams[name] = config.Upstream{Service: service, Zone: zone, Address: fmt.Sprintf("127.0.0.1:%d", 20000+10*i+j)}
		}
	}
	var all []*daemon.Daemon
	first := ""
	for i := range n {
		host := fmt.Sprintf("%s-%d", zones[i%len(zones)], i)
		all = append(all, f.start(host, zones[i%len(zones)]))
		if first == "" {
			first = host
		}
	}
	f.awaitReady(f.apply(first, c))
	return all
}
