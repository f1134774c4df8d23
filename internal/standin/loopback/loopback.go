// Package loopback gives stand-ins and tests addresses to listen on that are told
// before somebody listens there, as settings files need them.
//
// A port that was free a moment ago may have been given to somebody else: to
// another process that asks for any port, or to an outgoing connection. Both get
// ports of 127.0.0.1, so each Host is another address of the loopback network.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/hashing"
)

// hosts counts the hosts that this process has made.
var hosts atomic.Uint64

// Host is a loopback address that nobody else has, as far as hashing the process's
// id allows. Its zero value is none: use New. It is not for use by goroutines at
// the same time.
type Host struct {
	// IP is the host's address.
	IP string
	// given holds the ports that were given out.
	given map[string]bool
}

// New returns a host of its own.
func New() *Host {
	x := hashing.Mix(uint64(os.Getpid())<<32 + hosts.Add(1))
	return &Host{
		IP:    fmt.Sprintf("127.%d.%d.%d", 1+x%254, x>>8%256, 1+x>>16%254),
		given: map[string]bool{},
	}
}

// UnusedAddress returns an address on the host, as host:port, that nobody listens on and
// that was not given out before.
func (h *Host) UnusedAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp", net.JoinHostPort(h.IP, "0"))
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", err
		}
		if !h.given[address] {
			h.given[address] = true
			return address, nil
		}
	}
}
