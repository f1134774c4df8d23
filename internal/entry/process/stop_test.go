package process_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/entry/process"
)

// Guards against a stop that never ends because an operator has sent a part of a command.
func TestStopEndsBesideBegunCommand(t *testing.T) {
	g := NewWithT(t)
	config := settings.Settings{
		Name: "entry-near", Region: "near", DataCentre: "near-1", Store: "http://" + freeAddress(g) + "/",
		CallerAddress: freeAddress(g), PeerAddress: freeAddress(g), OperatorAddress: freeAddress(g),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- (&process.Process{Settings: config, Log: log}).Run(ctx) }()
	var operator net.Conn
	g.Eventually(func() (err error) {
		operator, err = net.Dial("tcp", config.OperatorAddress)
		return err
	}, "5s").Should(Succeed())
	defer operator.Close()
	_, err := io.WriteString(operator, "PUT /v1/documents/art HTTP/1.1\r\nHost: vm\r\nContent-Length: 100\r\n\r\n{")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond)
	stop()
	g.Eventually(ended, "15s").Should(Receive(BeNil()))
}
