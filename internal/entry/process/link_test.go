package process_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/entry/process"
	"baobabladder.example/baobabladder/internal/standin/link"
	"baobabladder.example/baobabladder/internal/standin/loopback"
	"baobabladder.example/baobabladder/internal/standin/store"
	wire "baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// capMbit is the document's cap of the link, capBytes the same a second.
	capMbit  = 8
	capBytes = capMbit * 125_000
	// controlBytes is more than the VMs' own messages take of the link in a second.
	controlBytes = 50_000
)

const fleetText = `
[fleet]
name = fleet

[region far]
data_centres = far-1

[region near]
data_centres = near-1

[link far near]
mbit = %d
latency_ms = 2
`

const artText = `
[service]
name = art
deadline_ms = 60000
shift_cap_percent = 100

[route /art/]
work = upload
open = yes

[route /pictures/]
work = catalogue
open = yes

[workspace glen-herbs]
rate = 10
burst = 10

[endpoint e1]
address = %s
region = far
data_centre = far-1
version = v1
slots = 12
`

// listen opens a port on loopback.
func listen(g *WithT) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	return listener
}

// host is where the tests' VMs listen.
var host = loopback.New()

func free(g *WithT) string {
	address, err := host.Address()
	g.Expect(err).NotTo(HaveOccurred())
	return address
}

// serve serves until the end of the test.
func serve(t *testing.T, g *WithT, handler http.Handler) (address string) {
	listener := listen(g)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// picture answers with as many bytes as the last part of the path says, and
// swallows uploads.
func picture(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	w.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	size, err := strconv.Atoi(path.Base(request.URL.Path))
	if request.Method != http.MethodGet || err != nil {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size))
}

// pair is an entry VM in each of two regions, and a link that could carry far
// more than the document allows.
type pair struct {
	network  *link.Network
	near     string
	endpoint string

	mu sync.Mutex
	// reads holds what the VMs read from the endpoint, and when. Guarded by mu.
	reads []read
}

type read struct {
	at    time.Time
	bytes int
}

// countedConn notes what is read.
type countedConn struct {
	net.Conn
	pair *pair
}

func (c countedConn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	c.pair.mu.Lock()
	defer c.pair.mu.Unlock()
	c.pair.reads = append(c.pair.reads, read{time.Now(), n})
	return n, err
}

// dialer counts what is read from the endpoint.
func (p *pair) dialer(place link.Place) process.Dial {
	dial := p.network.Dialer(place)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || address != p.endpoint {
			return conn, err
		}
		return countedConn{conn, p}, nil
	}
}

// worstRead returns the most bytes read from the endpoint within any second.
func (p *pair) worstRead() (worst int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, sum := 0, 0
	for _, r := range p.reads {
		sum += r.bytes
		for r.at.Sub(p.reads[first].at) > time.Second {
			sum -= p.reads[first].bytes
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

func startPair(t *testing.T, g *WithT) *pair {
	objects := store.New()
	storeAddress := serve(t, g, objects.Handler())
	endpointAddress := serve(t, g, http.HandlerFunc(picture))
	wide, err := document.Parse([]byte(fmt.Sprintf(fleetText, 1000)))
	g.Expect(err).NotTo(HaveOccurred())
	p := &pair{network: &link.Network{Fleet: wide.Fleet}, endpoint: endpointAddress}
	p.network.Locate(endpointAddress, link.Place{VM: "e1", Region: "far", DataCentre: "far-1"})
	client := wire.New("http://" + storeAddress + "/")
	for name, text := range map[string]string{"fleet": fmt.Sprintf(fleetText, capMbit), "art": fmt.Sprintf(artText, endpointAddress)} {
		record, err := json.Marshal(document.Record{Name: name, Revision: 1, Text: text})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(context.Background(), document.ObjectPrefix+name, record, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	for _, region := range []string{"near", "far"} {
		p.start(t, g, "entry-"+region, region, storeAddress)
	}
	return p
}

func (p *pair) start(t *testing.T, g *WithT, name, region, storeAddress string) {
	read := settings.Settings{
		Name: name, Region: region, DataCentre: region + "-1", Store: "http://" + storeAddress + "/",
		CallerAddress: free(g), PeerAddress: free(g), OperatorAddress: free(g),
	}
	place := link.Place{VM: name, Region: region, DataCentre: region + "-1"}
	p.network.Locate(read.PeerAddress, place)
	if region == "near" {
		p.near = read.CallerAddress
	}
	listed, err := json.Marshal(vm.VM{
		Name: name, Role: vm.RoleEntry, State: vm.StateLive, Region: region, DataCentre: read.DataCentre,
		CallerAddress: read.CallerAddress, PeerAddress: read.PeerAddress,
	})
	g.Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+storeAddress+"/standin/vms/"+name, bytes.NewReader(listed))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = (&process.Process{Settings: read, Log: log, Dial: p.dialer(place)}).Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-ended })
}

// send sends a request and returns its status; 0 stands for none.
func (p *pair) send(method, target string, body []byte) int {
	request, err := http.NewRequest(method, "http://"+p.near+target, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// together sends count requests at once again and again until each was answered.
func (p *pair) together(g *WithT, count int, send func(i int) int) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			g.Eventually(func() int { return send(i) }, "20s", "50ms").Should(Equal(http.StatusOK))
		})
	}
	group.Wait()
}

// worst returns the most bytes in any second from one region to the other.
func (p *pair) worst(from string) int64 {
	for _, traffic := range p.network.Traffic() {
		if traffic.From == from && traffic.To != "" {
			return traffic.WorstSecond
		}
	}
	return 0
}

func TestUploadsStayUnderTheLinksCap(t *testing.T) {
	g := NewWithT(t)
	p := startPair(t, g)
	p.together(g, 1, func(int) int { return p.send(http.MethodGet, "/pictures/10", nil) })
	body := make([]byte, 100_000)
	p.together(g, 12, func(i int) int { return p.send(http.MethodPut, fmt.Sprintf("/art/%d", i), body) })
	g.Expect(p.worst("near")).To(BeNumerically("<=", capBytes+controlBytes))
	g.Expect(p.worst("near")).To(BeNumerically(">", capBytes/10))
}

// Only bodies were paced: answers came as fast as the network carried them.
func TestAnswersAreReadNoFasterThanTheLinkTakes(t *testing.T) {
	g := NewWithT(t)
	p := startPair(t, g)
	p.together(g, 1, func(int) int { return p.send(http.MethodGet, "/pictures/10", nil) })
	p.together(g, 6, func(int) int { return p.send(http.MethodGet, "/pictures/600000", nil) })
	g.Expect(p.worstRead()).To(BeNumerically("<=", capBytes+controlBytes))
	g.Expect(p.worstRead()).To(BeNumerically(">", capBytes/10))
}

// The placer takes the whole upload from the VM's part of the link's burst,
// although the stream is paced, so a larger one never goes to a far region.
func TestUploadLargerThanTheLinksBurstGoesToAFarRegion(t *testing.T) {
	g := NewWithT(t)
	p := startPair(t, g)
	p.together(g, 1, func(int) int { return p.send(http.MethodGet, "/pictures/10", nil) })
	body := make([]byte, 600_000)
	p.together(g, 1, func(int) int { return p.send(http.MethodPut, "/art/large", body) })
	g.Expect(p.worst("near")).To(BeNumerically("<=", capBytes+controlBytes))
}
