package loopback_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/standin/loopback"
)

// A VM did not start: between the choice of its port and its start, the port was
// given to another process that asked for any.
func TestNobodyIsGivenAnAddressThatIsToldAhead(t *testing.T) {
	g := NewWithT(t)
	address, err := loopback.New().UnusedAddress()
	g.Expect(err).NotTo(HaveOccurred())
	_, port, err := net.SplitHostPort(address)
	g.Expect(err).NotTo(HaveOccurred())
	// Even the same port of the machine's usual address leaves it free.
	taken, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
	if err == nil {
		defer taken.Close()
	}
	listener, err := net.Listen("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	connection, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer connection.Close()
	g.Expect(connection.LocalAddr().(*net.TCPAddr).IP.String()).To(Equal("127.0.0.1"), "outgoing connections have another address")
}

func TestAddressesDiffer(t *testing.T) {
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
