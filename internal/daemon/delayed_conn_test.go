package daemon_test

import (
	"net"
	"sync"
	"time"
)

// delayedConn delays written and received data by a one-way delay each, without
// limiting the rate, like a long-distance link.
type delayedConn struct {
	net.Conn
	delay  time.Duration
	out    chan chunk
	in     chan chunk
	unread []byte
	err    error
	once   sync.Once
	done   chan struct{}
}

type chunk struct {
	due  time.Time
	data []byte
	err  error
}

const maxDelayedChunks = 1024

func newDelayedConn(c net.Conn, delay time.Duration) *delayedConn {
	d := &delayedConn{
		Conn: c, delay: delay, done: make(chan struct{}),
		out: make(chan chunk, maxDelayedChunks), in: make(chan chunk, maxDelayedChunks),
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

// Write returns at once; the data is sent after the delay.
func (d *delayedConn) Write(p []byte) (int, error) {
	select {
	case d.out <- chunk{due: time.Now().Add(d.delay), data: append([]byte(nil), p...)}:
		return len(p), nil
	case <-d.done:
		return 0, net.ErrClosed
	}
}

// Read must not be called concurrently.
func (d *delayedConn) Read(p []byte) (int, error) {
	if len(d.unread) == 0 && d.err == nil {
		select {
		case c := <-d.in:
			time.Sleep(time.Until(c.due))
			d.unread, d.err = c.data, c.err
		case <-d.done:
			return 0, net.ErrClosed
		}
	}
	if len(d.unread) == 0 {
		return 0, d.err
	}
	n := copy(p, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

func (d *delayedConn) Close() error {
	d.once.Do(func() { close(d.done) })
	return d.Conn.Close()
}
