package firm_test

import (
	"context"
	"io"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/examples"
	"baobabladder.example/baobabladder/internal/standin/firm"
)

// Guards against a nil pointer panic: the clean-up after a failed start used the firm that
// Start returns, which is nil in that case.
func TestFailedStartReturnsItsError(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	_, err := firm.Start(ctx, firm.Config{Name: examples.MunroLennox, Log: log})
	g.Expect(err).To(HaveOccurred())
}
