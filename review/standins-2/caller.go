package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Names that callers and upstreams use.
const (
	callerHost = "herd.example"
	apiKey     = "k-1"
	customer   = "dairy"
)

// Headers of the platform.
const (
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Deadline-Ms"
	headerSignature = "X-Response-Signature"
	headerExpected  = "X-Expected-Instance"
)

// answer is what a caller got for a request.
type answer struct {
	id     string
	sentAt time.Time
	at     time.Time
	// status is 0 if the connection ended without a complete response, for the reason err.
	status int
	signed bool
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: no answer after %d ms: %v", a.id, a.at.Sub(a.sentAt).Milliseconds(), a.err)
	}
	return fmt.Sprintf("%s: status %d, signed %t, after %d ms", a.id, a.status, a.signed, a.at.Sub(a.sentAt).Milliseconds())
}

// caller keeps one connection to one host.
type caller struct {
	address string
	client  *http.Client
}

func newCaller(address string) *caller {
	return &caller{address, &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
}

// send sends one request and reads the response.
func (c *caller) send(method, path, id string, timeLimit time.Duration, body []byte) answer {
	a := answer{id: id, sentAt: time.Now()}
	defer func() { a.at = time.Now() }()
	r, err := http.NewRequest(method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		a.at, a.err = time.Now(), err
		return a
	}
	r.Host = callerHost
	r.Header.Set(headerRequestID, id)
	r.Header.Set(headerDeadline, fmt.Sprint(timeLimit.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := c.client.Do(r)
	if err != nil {
		a.at, a.err = time.Now(), err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a.at, a.err = time.Now(), err
	if err == nil {
		a.status, a.signed, a.body = resp.StatusCode, resp.Header.Get(headerSignature) != "", string(text)
	}
	return a
}
