package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/settings"
)

// outcome is what one reload told.
type outcome struct {
	node settings.Node
	err  error
}

func TestSettingsAreReadAgainAfterASignalAndAfterAChange(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "vm.ini")
	g.Expect(os.WriteFile(path, []byte(nodeText), 0o600)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	outcomes := make(chan outcome, 10)
	go settings.WatchNode(ctx, path, signals, func(node settings.Node, err error) { outcomes <- outcome{node, err} })
	signals <- syscall.SIGHUP
	var got outcome
	g.Eventually(outcomes, "20s").Should(Receive(&got))
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(path, []byte(strings.Replace(nodeText, "10.2.0.40", "10.2.0.41", 1)), 0o600)).To(Succeed())
	g.Eventually(outcomes, "20s").Should(Receive(&got))
	g.Expect(got.node.Peers).To(ContainElement("10.2.0.41:8383"))
	g.Expect(os.WriteFile(path, []byte("nonsense"), 0o600)).To(Succeed())
	signals <- syscall.SIGHUP
	g.Eventually(outcomes, "20s").Should(Receive(&got))
	g.Expect(got.err).To(HaveOccurred())
}
