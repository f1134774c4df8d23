package loopback_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/standin/loopback"
)

// Guards against a VM that fails to start because its port is in use: between choosing
// the port and opening it, the system assigned it to another process that asked for any
// port.
func TestAddressStaysUnusedUntilListenerOpens(t *testing.T) {
	g := NewWithT(t)
	address, err := loopback.New().UnusedAddress()
	g.Expect(err).NotTo(HaveOccurred())
	_, port, err := net.SplitHostPort(address)
	g.Expect(err).NotTo(HaveOccurred())
	// The address stays unused even if the same port is opened on 127.0.0.1.
	other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
	if err == nil {
		defer other.Close()
	}
	listener, err := net.Listen("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	connection, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer connection.Close()
	g.Expect(connection.LocalAddr().(*net.TCPAddr).IP.String()).To(Equal("127.0.0.1"), "outgoing connections must use 127.0.0.1, not the host's IP address")
}

func TestAddressesAreUnique(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for range 3 {
		host := loopback.New()
		for range 100 {
			address, err := host.UnusedAddress()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seen).NotTo(HaveKey(address))
			seen[address] = true
		}
	}
}
