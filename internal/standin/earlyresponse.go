package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// RespondEarly sends a response on each connection once it has read the header of a request, whose body it does not read, and
// closes the connection when end returns. It ends with the listener.
func RespondEarly(l net.Listener, response string, end func(c *net.TCPConn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			// Connections without a request get no response.
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, response)
			end(c.(*net.TCPConn))
		}()
	}
}
