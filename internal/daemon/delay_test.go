package daemon_test

import (
	"net"
	"sync"
	"time"
)

// delayedConn holds what is written and what is read back by a one-way delay
// each, without bounding the rate, as a long link does.
type delayedConn struct {
	net.Conn
	delay time.Duration
	out   chan chunk
	in    chan chunk
	rest  []byte
	err   error
	once  sync.Once
	done  chan struct{}
}

type chunk struct {
	due  time.Time
	data []byte
	err  error
}

const delayedChunks = 1024

func newDelayedConn(c net.Conn, delay time.Duration) *delayedConn {
	d := &delayedConn{
		Conn: c, delay: delay, done: make(chan struct{}),
		out: make(chan chunk, delayedChunks), in: make(chan chunk, delayedChunks),
	}
	go d.pumpOut()
	go d.pumpIn()
	return d
}

func (d *delayedConn) pumpOut() {
	for {
		select {
		case c := <-d.out:
			time.Sleep(time.Until(c.due))
			if _, err := d.Conn.Write(c.data); err != nil {
				return
			}
		case <-d.done:
			return
		}
	}
}

func (d *delayedConn) pumpIn() {
	for {
		buf := make([]byte, 16<<10)
		n, err := d.Conn.Read(buf)
		select {
		case d.in <- chunk{due: time.Now().Add(d.delay), data: buf[:n], err: err}:
		case <-d.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write accepts the data at once; it leaves a delay later.
func (d *delayedConn) Write(p []byte) (int, error) {
	select {
	case d.out <- chunk{due: time.Now().Add(d.delay), data: append([]byte(nil), p...)}:
		return len(p), nil
	case <-d.done:
		return 0, net.ErrClosed
	}
}

// Read is called by one goroutine at a time.
func (d *delayedConn) Read(p []byte) (int, error) {
	if len(d.rest) == 0 && d.err == nil {
		select {
		case c := <-d.in:
			time.Sleep(time.Until(c.due))
			d.rest, d.err = c.data, c.err
		case <-d.done:
			return 0, net.ErrClosed
		}
	}
	if len(d.rest) == 0 {
		return 0, d.err
	}
	n := copy(p, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

func (d *delayedConn) Close() error {
	d.once.Do(func() { close(d.done) })
	return d.Conn.Close()
}
