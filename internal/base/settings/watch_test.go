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

// reloadResult is the result of one reload.
type reloadResult struct {
	node settings.Node
	err  error
}

func TestSettingsAreReloadedAfterASignalAndAfterAChange(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "vm.ini")
	g.Expect(os.WriteFile(path, []byte(validNodeText), 0o600)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	results := make(chan reloadResult, 10)
	go settings.WatchNode(ctx, path, signals, func(node settings.Node, err error) { results <- reloadResult{node, err} })
	signals <- syscall.SIGHUP
	var result reloadResult
	g.Eventually(results, "20s").Should(Receive(&result))
	g.Expect(result.err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(path, []byte(strings.Replace(validNodeText, "10.2.0.40", "10.2.0.41", 1)), 0o600)).To(Succeed())
	g.Eventually(results, "20s").Should(Receive(&result))
	g.Expect(result.node.Peers).To(ContainElement("10.2.0.41:8383"))
	g.Expect(os.WriteFile(path, []byte("nonsense"), 0o600)).To(Succeed())
	signals <- syscall.SIGHUP
	g.Eventually(results, "20s").Should(Receive(&result))
	g.Expect(result.err).To(HaveOccurred())
}
