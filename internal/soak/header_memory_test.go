package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"balsambarrow/internal/standin"
)

// headerBytes is what a caller sends of its header, which it never ends.
const headerBytes = 1 << 20

// Guards against a host that is killed because callers send headers without an end.
func TestHeadersOfCallersDoNotExhaustMemory(t *testing.T) {
	var fields strings.Builder
	for i := 0; fields.Len() < headerBytes; i++ {
		fmt.Fprintf(&fields, "x%d:\r\n", i)
	}
	for name, rest := range map[string]string{
		"one field":   "X-Long: " + strings.Repeat("x", headerBytes),
		"many fields": fields.String(),
	} {
		t.Run(name, func(t *testing.T) {
			const callers, memoryMB = 200, 96
			c := newCluster(t, daemonBinary(t), nil, false)
			defer c.close()
			h := c.addSmallHost(memoryMB)
			stop := make(chan struct{})
			var tasks sync.WaitGroup
			for range callers {
				tasks.Go(func() {
					for !sleepUntil(stop, slowPause) {
						sendHeader(h.callerAddress, "GET "+standin.ReadPath+"1 HTTP/1.1\r\nHost: "+standin.CallerHost+"\r\n"+rest, stop)
					}
				})
			}
			checkUsualCaller(t, h, memoryMB, 5*time.Second)
			close(stop)
			tasks.Wait()
		})
	}
}

// sendHeader sends a part of a header, and keeps the connection until the host closes it or stop is closed.
func sendHeader(address, part string, stop <-chan struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.WriteString(conn, part)
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-stop:
	case <-ended:
	}
	_ = conn.Close()
	<-ended
}
