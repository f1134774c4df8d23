// Package loopback hands out listening addresses to stand-ins and tests that need an
// address before its listener is opened, for example to write it to a settings file.
//
// A port that is unused when it is handed out may be taken by the time it is opened: the
// system may assign it to another process that asks for any port, or to an outgoing
// connection. Both usually use 127.0.0.1, so each Host has another IP address of the
// loopback network.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/hashing"
)

// hostCount is the number of hosts created by this process.
var hostCount atomic.Uint64

// Host hands out addresses on one loopback IP address. The IP address is a hash of the
// process id and a counter, so a collision with another Host is unlikely but possible.
// Create a Host with New. It is not safe for concurrent use.
type Host struct {
	// IP is the host's IP address.
	IP string
	// issuedAddresses holds the addresses handed out so far.
	issuedAddresses map[string]bool
}

// New returns a Host with a new IP address.
func New() *Host {
	hash := hashing.Mix(uint64(os.Getpid())<<32 + hostCount.Add(1))
	return &Host{
		IP:              fmt.Sprintf("127.%d.%d.%d", 1+hash%254, hash>>8%256, 1+hash>>16%254),
		issuedAddresses: map[string]bool{},
	}
}

// UnusedAddress returns an address of the host, as host:port, that no process listens on
// and that this Host has not handed out before.
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
		if !h.issuedAddresses[address] {
			h.issuedAddresses[address] = true
			return address, nil
		}
	}
}
