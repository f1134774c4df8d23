package main_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// stallingBody yields its content in pieces, and the second half only after release is
// closed.
type stallingBody struct {
	content []byte
	at      int
	release chan struct{}
	// started counts the bodies whose first half was read.
	started *atomic.Int64
}

// Read implements io.Reader.
func (b *stallingBody) Read(p []byte) (n int, err error) {
	const piece = 8 << 10
	if b.at == len(b.content) {
		return 0, io.EOF
	}
	if b.at == len(b.content)/2 {
		b.started.Add(1)
		<-b.release
	}
	n = copy(p[:min(piece, len(p))], b.content[b.at:])
	if half := len(b.content) / 2; b.at < half {
		n = min(n, half-b.at)
	}
	b.at += n
	return n, nil
}

var _ = Describe("a planned stop", func() {
	It("interrupts no request, not even a slow upload", func() {
		const uploads, size = 4, 256 << 10
		endpoints := startEndpoints(func(e *testEndpoint) { e.ServiceTime = 30 }, "e1", "e2", "e3", "e4")
		f := startFleet(3, "lothian")
		keyText, _ := f.applyAndIssueKey(&serviceDocument{head: fmt.Sprintf(serviceHead, 10000, 10000), endpoints: endpoints})
		stopped := f.vms[0]

		By("sending half of each upload")
		var group sync.WaitGroup
		var started atomic.Int64
		release := make(chan struct{})
		sent := make([]*sentRequest, uploads)
		digests := make([]string, uploads)
		for i := range uploads {
			content := bytes.Repeat([]byte{byte(i), byte(i * 3), 'x'}, size/3)
			sum := sha256.Sum256(content)
			digests[i] = hex.EncodeToString(sum[:])
			sent[i] = &sentRequest{method: http.MethodPut, path: fmt.Sprintf("/art/%d", i), key: keyText, body: &stallingBody{content: content, release: release, started: &started}}
			group.Go(func() { sent[i].send(newClient(), stopped) })
		}
		Eventually(started.Load, "30s").Should(BeEquivalentTo(uploads))
		Eventually(func() []arrival { return withPathPrefix("/art/", arrivalsAt(endpoints...)) }, "30s").Should(HaveLen(uploads))
		l := (&loadGenerator{fleet: f, key: keyText, prefix: "/catalogue/", senders: 6, pause: 2 * time.Millisecond}).start()
		l.runFor(100 * time.Millisecond)

		By("stopping the VM while its callers keep sending")
		stopped.process.Terminate()
		l.runFor(2 * time.Second)
		Expect(stopped.process).NotTo(gexec.Exit())
		close(release)
		group.Wait()
		Eventually(stopped.process, "30s").Should(gexec.Exit(0))
		l.runFor(200 * time.Millisecond)

		arrived := map[string]bool{}
		for _, e := range endpoints {
			for _, upload := range e.Counts().Uploads {
				arrived[upload.Digest] = true
			}
		}
		for i, s := range sent {
			Expect(s.err).NotTo(HaveOccurred(), s.path)
			Expect(s.status).To(Equal(http.StatusOK), "%s: %s", s.path, s.reason)
			Expect(s.headers.Get("Body-Digest")).To(Equal(digests[i]), s.path)
			Expect(arrived).To(HaveKey(digests[i]), s.path)
		}
		for _, s := range l.stop() {
			if s.err != nil {
				Expect(errors.Is(s.err, syscall.ECONNREFUSED)).To(BeTrue(), "request interrupted: %v", s.err)
				continue
			}
			if s.reason != "" {
				Expect(s.ran).To(Equal("no"), s.reason)
				continue
			}
			Expect(s.status).To(Equal(http.StatusOK))
		}
	})
})
