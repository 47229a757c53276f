// Package h1 sends one request over HTTP/1.1 to one upstream and says what may
// be concluded when that fails.
//
// net/http's transport cannot be used here: it sends again on a kept
// connection that turned out dead, and its errors do not say whether the
// upstream can have seen the request. A posting would run twice, or a refusal
// would claim that it has not run although it has.
package h1
