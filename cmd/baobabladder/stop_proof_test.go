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

// slowBody hands out its content in pieces, and the second half not before open
// is closed.
type slowBody struct {
	content []byte
	at      int
	open    chan struct{}
	// started counts bodies that are half read.
	started *atomic.Int64
}

// Read implements io.Reader.
func (s *slowBody) Read(p []byte) (n int, err error) {
	const piece = 8 << 10
	if s.at == len(s.content) {
		return 0, io.EOF
	}
	if s.at == len(s.content)/2 {
		s.started.Add(1)
		<-s.open
	}
	n = copy(p[:min(piece, len(p))], s.content[s.at:])
	if half := len(s.content) / 2; s.at < half {
		n = min(n, half-s.at)
	}
	s.at += n
	return n, nil
}

var _ = Describe("a planned stop", func() {
	It("cuts no request, slow uploads included", func() {
		const uploads, size = 4, 256 << 10
		sites := newSites(func(s *site) { s.ServiceTime = 30 }, "e1", "e2", "e3", "e4")
		f := startFleet(3, "lothian")
		keyText, _ := f.open(&shop{head: fmt.Sprintf(shopHead, 10000, 10000), sites: sites})
		stopped := f.vms[0]

		By("sending half of each upload")
		var group sync.WaitGroup
		var started atomic.Int64
		open := make(chan struct{})
		sent := make([]*sending, uploads)
		digests := make([]string, uploads)
		for i := range uploads {
			content := bytes.Repeat([]byte{byte(i), byte(i * 3), 'x'}, size/3)
			sum := sha256.Sum256(content)
			digests[i] = hex.EncodeToString(sum[:])
			sent[i] = &sending{method: http.MethodPut, path: fmt.Sprintf("/art/%d", i), key: keyText, body: &slowBody{content: content, open: open, started: &started}}
			group.Go(func() { sent[i].send(newClient(), stopped) })
		}
		Eventually(started.Load, "30s").Should(BeEquivalentTo(uploads))
		Eventually(func() []arrival { return on("/art/", arrivalsAt(sites...)) }, "30s").Should(HaveLen(uploads))
		l := (&load{fleet: f, key: keyText, prefix: "/catalogue/", senders: 6, pause: 2 * time.Millisecond}).start()
		l.goOn(100 * time.Millisecond)

		By("stopping the VM, while its callers go on")
		stopped.process.Terminate()
		l.goOn(2 * time.Second)
		Expect(stopped.process).NotTo(gexec.Exit())
		close(open)
		group.Wait()
		Eventually(stopped.process, "30s").Should(gexec.Exit(0))
		l.goOn(200 * time.Millisecond)

		arrived := map[string]bool{}
		for _, site := range sites {
			for _, upload := range site.Counts().Uploads {
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
				Expect(errors.Is(s.err, syscall.ECONNREFUSED)).To(BeTrue(), "cut: %v", s.err)
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
