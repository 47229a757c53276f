// Package suspect recognises equal requests, under which upstreams may end.
package suspect
