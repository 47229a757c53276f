package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode selects how a proxy treats the traffic through it.
type proxyMode int

const (
	// modePass forwards everything without delay.
	modePass proxyMode = iota
	// modeDelay delays each chunk by 150 ms.
	modeDelay
	// modeBlackhole accepts connections and data and forwards nothing.
	modeBlackhole
	// modeDropResponses forwards requests and drops responses.
	modeDropResponses
	// modeReset closes all open connections and each new one.
	modeReset
	modeCount
)

// proxy is a TCP proxy on loopback between a daemon and the store.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modeReset {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeReset {
			_ = c.Close()
			continue
		}
		up, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[up] = true, true
		p.mu.Unlock()
		go p.pipe(up, c, true)
		go p.pipe(c, up, false)
	}
}

func (p *proxy) pipe(to, from net.Conn, isRequest bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n], isRequest) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes one chunk as the mode requires, and returns false if the connection is
// to be closed. A dropped chunk is lost, so its connection is closed once the mode changes.
func (p *proxy) forward(to io.Writer, data []byte, isRequest bool) bool {
	switch m := p.currentMode(); {
	case m == modeDelay:
		time.Sleep(150 * time.Millisecond)
	case m == modeBlackhole, m == modeDropResponses && !isRequest:
		for p.currentMode() == m {
			time.Sleep(20 * time.Millisecond)
		}
		return false
	}
	_, err := to.Write(data)
	return err == nil
}
