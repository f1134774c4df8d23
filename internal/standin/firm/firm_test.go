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

// A start that failed ended the program with a nil pointer in place of its error.
func TestAStartThatFailsTellsItsError(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	_, err := firm.Start(ctx, firm.Config{Name: examples.MunroLennox, Log: log})
	g.Expect(err).To(HaveOccurred())
}
