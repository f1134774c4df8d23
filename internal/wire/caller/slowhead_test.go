package caller_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/wire/caller"
)

// Guards against a proper request that is refused as malformed because its head was whole just
// as its time ended.
func TestHeadThatIsWholeAsItsTimeEndsIsNotMalformed(t *testing.T) {
	g := NewWithT(t)
	ts, h := newPipelineServer(t, func(s *caller.Server) { s.HeadTimeout = 5 })
	close(h.release)
	head, checked := rawGet("/b"), 0
	for i := range 400 {
		connection := ts.dial(g)
		_, _ = io.WriteString(connection, rawGet("/a")+head[:9])
		reader := bufio.NewReader(connection)
		first, err := http.ReadResponse(reader, nil)
		if err != nil || first.StatusCode != http.StatusOK {
			// The time of the first head ended too.
			_ = connection.Close()
			continue
		}
		_, err = io.Copy(io.Discard, first.Body)
		g.Expect(err).NotTo(HaveOccurred(), "request %d", i)
		checked++
		time.Sleep(4*time.Millisecond + time.Duration(i%20)*100*time.Microsecond)
		_, _ = io.WriteString(connection, head[9:])
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred(), "request %d", i)
		g.Expect(response.StatusCode).To(BeElementOf(http.StatusOK, http.StatusRequestTimeout), "request %d", i)
		_ = connection.Close()
	}
	g.Expect(checked).To(BeNumerically(">", 300))
}
