package endpoint_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m, fuzz.Config{Seed: 39, Checks: 30, Steps: 30}))
}

const (
	// piecePause is the time before each write on a connection with copies.
	piecePause = 200 * time.Microsecond
	notRun     = "\r\nRequest-Not-Run: full"
	ranHead    = "200 OK"
)

// answerCopy states how a copier writes an earlier answer of a connection once more.
type answerCopy struct {
	// Age selects the answer: 0 is the newest. Cut selects the end of the first piece.
	Age, Cut int
	// Interim is written before the copy, Header added to its head before the id.
	Interim, Header string
	// IsBegun leaves out the second piece: the copy is only begun.
	IsBegun bool
}

var anyCopies = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) answerCopy {
	return answerCopy{
		Age:     rapid.IntRange(0, 4).Draw(t, "age"),
		Cut:     rapid.IntRange(0, 150).Draw(t, "cut"),
		Interim: rapid.SampledFrom([]string{"", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"}).Draw(t, "interim"),
		Header:  rapid.SampledFrom([]string{"", "", "", "Connection: close\r\n"}).Draw(t, "header"),
		IsBegun: rapid.Bool().Draw(t, "begun"),
	}
}), 1, 3)

func (a answerCopy) text(answers []string) string {
	answer := answers[len(answers)-1-a.Age%len(answers)]
	return a.Interim + strings.Replace(answer, "Request-Id", a.Header+"Request-Id", 1)
}

// plannedSend is a request as it is sent once, and what the copier does with it.
type plannedSend struct {
	number  int
	request *endpoint.Request
	// head is the answer's status line and not-run header.
	head string
	// before and behind are the copies before and behind the answer. isJoined writes all in
	// one segment, isEarly before the body is read. endsConn closes the connection then,
	// saysClose says so in the answer.
	before, behind                         []answerCopy
	isJoined, isEarly, endsConn, saysClose bool
	// arrived is closed when the copier has read the head. The answer waits until held is
	// closed. settled is closed when all is written and, if the connection carried a copy,
	// the connection has ended.
	arrived, held, settled chan struct{}
	// runs counts the runs. isUndisturbed reports that the connection carried no copy before
	// the answer. Guarded by copier.mu.
	runs          int
	isUndisturbed bool
}

func (p *plannedSend) body() string { return fmt.Sprint(p.head[:len("200")], " for send ", p.number) }

func (p *plannedSend) answer() string {
	closing := ""
	if p.saysClose {
		closing = "Connection: close\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", p.head, p.request.ID, closing, len(p.body()), p.body())
}

func (p *plannedSend) hasArrived() bool {
	select {
	case <-p.arrived:
		return true
	default:
		return false
	}
}

// copier is an endpoint that runs or refuses requests and copies its answers, and the client
// that sends them.
type copier struct {
	client  *endpoint.Client
	address string
	// writesCopies lets the endpoint write copies. isRacing lets the next request meet the
	// copies behind an answer, and answers meet bodies that are still being sent.
	writesCopies, isRacing bool
	mu                     sync.Mutex
	// sends lists all sends, promised those that were reported as not run, conns the
	// connections accepted. Guarded by mu.
	sends, promised []*plannedSend
	conns           []net.Conn
	serving         sync.WaitGroup
}

// do calls action while it holds mu.
func (c *copier) do(action func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	action()
}

// serve is a handler.
func (c *copier) serve(_ *faultyServer, connection net.Conn, reader *bufio.Reader) {
	c.do(func() {
		c.conns = append(c.conns, connection)
		c.serving.Add(1)
	})
	defer c.serving.Done()
	_ = connection.SetDeadline(time.Now().Add(2 * testTimeout))
	writer := &copyWriter{conn: connection}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		sent := c.arrive(request)
		if !sent.isEarly {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		writer.isJoining = sent.isJoined
		writer.writeCopies(sent.before)
		<-sent.held
		c.do(func() { sent.isUndisturbed = !writer.hasCopies })
		writer.writeAnswer(sent.answer())
		writer.writeCopies(sent.behind)
		writer.flush()
		_, _ = io.Copy(io.Discard, request.Body)
		if !writer.hasCopies {
			close(sent.settled)
			continue
		}
		defer close(sent.settled)
		if sent.endsConn {
			return
		}
	}
}

// copyWriter writes the answers and copies of a connection.
type copyWriter struct {
	conn net.Conn
	// answers lists the answers written, hasCopies reports that a copy was written.
	answers   []string
	hasCopies bool
	// isJoining collects all that is written in joined until it is flushed.
	isJoining bool
	joined    string
}

func (w *copyWriter) write(text string) {
	if w.isJoining {
		w.joined += text
		return
	}
	if w.hasCopies {
		time.Sleep(piecePause)
	}
	_, _ = io.WriteString(w.conn, text)
}

func (w *copyWriter) writeAnswer(answer string) {
	w.answers = append(w.answers, answer)
	w.write(answer)
}

func (w *copyWriter) writeCopies(copies []answerCopy) {
	for i := 0; i < len(copies) && len(w.answers) > 0; i++ {
		w.hasCopies = true
		text := copies[i].text(w.answers)
		cut := 1 + copies[i].Cut%(len(text)-1)
		if copies[i].IsBegun && cut == len(copies[i].Interim) {
			// A whole interim response disturbs nothing.
			cut--
		}
		w.write(text[:cut])
		if !copies[i].IsBegun {
			w.write(text[cut:])
		}
	}
}

func (w *copyWriter) flush() {
	_, _ = io.WriteString(w.conn, w.joined)
	w.joined = ""
}

// arrive returns the send of a request that was read, and runs it unless it is to be refused.
func (c *copier) arrive(request *http.Request) (sent *plannedSend) {
	number, _ := strconv.Atoi(request.URL.Path[1:])
	c.do(func() {
		sent = c.sends[number]
		if sent.head == ranHead {
			sent.runs++
		}
	})
	close(sent.arrived)
	return sent
}

// drain ends all connections once their requests have been read.
func (c *copier) drain() {
	c.do(func() {
		for _, connection := range c.conns {
			_ = connection.(*net.TCPConn).CloseWrite()
		}
	})
	c.serving.Wait()
}

// plan adds a send.
func (c *copier) plan(t *rapid.T) *plannedSend {
	planned := &plannedSend{
		number:  len(c.sends),
		request: getRequest(fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "id"))),
		head:    rapid.SampledFrom([]string{ranHead, ranHead, "503 Unavailable" + notRun, "429 Requests" + notRun, "400 Bad" + notRun, "421 Misdirected" + notRun, "421 Misdirected"}).Draw(t, "head"),
		arrived: make(chan struct{}), held: make(chan struct{}), settled: make(chan struct{}),
	}
	planned.request.Target = fmt.Sprint("/", planned.number)
	if rapid.Bool().Draw(t, "post") {
		planned.request.Method = http.MethodPost
		if c.isRacing {
			planned.request.Body, planned.request.Length = io.NopCloser(strings.NewReader("12345")), 5
			planned.isEarly = rapid.Bool().Draw(t, "early")
		}
	}
	if c.writesCopies && rapid.Bool().Draw(t, "copies before") {
		planned.before = anyCopies.Draw(t, "before")
	}
	if c.writesCopies && rapid.IntRange(0, 3).Draw(t, "copies behind") == 3 {
		planned.behind = anyCopies.Draw(t, "behind")
		planned.endsConn = rapid.Bool().Draw(t, "ends")
	}
	planned.isJoined = rapid.Bool().Draw(t, "joined")
	planned.saysClose = rapid.IntRange(0, 3).Draw(t, "says close") == 3
	c.do(func() { c.sends = append(c.sends, planned) })
	return planned
}

// checkSend checks what was reported of a send.
func (c *copier) checkSend(g Gomega, sent *plannedSend, body string, err error) {
	if !c.isRacing && sent.hasArrived() {
		g.Eventually(sent.settled, testTimeout, piecePause).Should(BeClosed(), "a connection is kept on which a copy was written")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		g.Expect(body).To(Equal(sent.body()), "the answer to send %d", sent.number)
	}
	refusal, _ := fault.As[*reason.Refusal](err)
	isNotRun := refusal != nil && refusal.Ran == reason.RanNo
	if isNotRun {
		c.promised = append(c.promised, sent)
	}
	if sent.isUndisturbed || !c.writesCopies {
		g.Expect(err == nil).To(Equal(sent.head == ranHead), "send %d: %v", sent.number, err)
		g.Expect(isNotRun).To(Equal(sent.head != ranHead), "send %d: %v", sent.number, err)
	}
}

// checkAll checks the promises and the connections.
func (c *copier) checkAll(g Gomega) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sent := range c.promised {
		g.Expect(sent.runs).To(BeZero(), "send %d was reported as not run", sent.number)
	}
	g.Expect(len(c.conns)).To(BeNumerically("<=", len(c.sends)), "connections accepted")
}

// sendOne sends a request and returns the check of its result.
func (c *copier) sendOne(g Gomega, sent *plannedSend) (check func()) {
	body, err := exchange(c.client, c.address, sent.request)
	return func() { c.checkSend(g, sent, body, err) }
}

// sendTwo sends second while first is under way.
func (c *copier) sendTwo(g Gomega, first, second *plannedSend) {
	release := sync.OnceFunc(func() { close(first.held) })
	ended := make(chan func(), 1)
	go func() {
		defer release()
		ended <- c.sendOne(g, first)
	}()
	g.Eventually(func() bool { return first.hasArrived() || len(ended) > 0 }, testTimeout, piecePause).Should(BeTrue())
	checkSecond := c.sendOne(g, second)
	release()
	(<-ended)()
	checkSecond()
}

// Guards against the copy of an earlier answer that is taken for the answer to a request
// with the same id.
func TestCopyOfAnAnswerIsNoAnswerToALaterSend(t *testing.T) {
	for name, isRacing := range map[string]bool{"settled": false, "racing": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				g := NewWithT(t)
				c := &copier{client: endpoint.New(), isRacing: isRacing}
				c.address = newFaultyServer(t, c.serve).address
				t.Cleanup(c.drain)
				c.writesCopies = rapid.IntRange(0, 3).Draw(t, "writes copies") > 0
				t.Repeat(map[string]func(*rapid.T){
					"": func(*rapid.T) { c.checkAll(g) },
					"send": func(t *rapid.T) {
						sent := c.plan(t)
						close(sent.held)
						c.sendOne(g, sent)()
					},
					"send two at once": func(t *rapid.T) {
						first, second := c.plan(t), c.plan(t)
						close(second.held)
						c.sendTwo(g, first, second)
					},
				})
				c.drain()
				c.checkAll(g)
			})
		})
	}
}
