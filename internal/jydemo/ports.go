package jydemo

import "net"

// ports hands out free loopback addresses.
type ports struct{}

func (ports) take() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", newError("take port", NoPort, "%w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
