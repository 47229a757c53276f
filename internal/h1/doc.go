// Package h1 is an HTTP/1.1 client with a connection pool. It sends each request
// at most once, to one upstream, and its errors state whether the upstream can have
// received the request.
//
// The transport of net/http does not fit: it sends a request again if a reused
// connection turns out to be closed, and its errors do not state whether the
// upstream can have seen the request. A posting would run twice, or a refusal would
// claim that a posting has not run although it has.
package h1
