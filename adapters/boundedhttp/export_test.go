package boundedhttp

import "net"

// CountLines returns the number of lines of a head that are counted if it arrives in parts.
func CountLines(parts ...string) int {
	var c conn
	lines := 0
	for _, part := range parts {
		lines += c.countLines([]byte(part))
	}
	return lines
}

// AcceptFrom accepts a connection of a listener as Server does.
func AcceptFrom(l net.Listener) (net.Conn, error) { return (&listener{Listener: l}).Accept() }
