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
	// linkMbit is the link's limit in the document, linkBytesPerSecond the same in bytes
	// per second.
	linkMbit           = 8
	linkBytesPerSecond = linkMbit * 125_000
	// maxControlBytes is an upper bound of the VMs' own messages over the link in a
	// second.
	maxControlBytes = 50_000
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

const serviceText = `
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

// host hands out free addresses for the VMs.
var host = loopback.New()

func freeAddress(g *WithT) string {
	address, err := host.UnusedAddress()
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

// servePicture responds to a GET with as many bytes as the last part of the path says,
// and discards uploads.
func servePicture(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	w.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	size, err := strconv.Atoi(path.Base(request.URL.Path))
	if request.Method != http.MethodGet || err != nil {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size))
}

// twoRegionFleet has an entry VM in each of two regions, and a simulated link between
// them that is much faster than the limit in the document.
type twoRegionFleet struct {
	network     *link.Network
	nearAddress string
	endpoint    string

	mu sync.Mutex
	// reads records each read of a VM from the endpoint. Guarded by mu.
	reads []connRead
}

type connRead struct {
	at    time.Time
	bytes int
}

// countingConn records what is read from it.
type countingConn struct {
	net.Conn
	fleet *twoRegionFleet
}

func (c countingConn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.reads = append(c.fleet.reads, connRead{time.Now(), n})
	return n, err
}

// dialer returns a Dial that records what is read from the endpoint.
func (f *twoRegionFleet) dialer(place link.Location) process.Dial {
	dial := f.network.Dialer(place)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || address != f.endpoint {
			return conn, err
		}
		return countingConn{conn, f}, nil
	}
}

// maxReadPerSecond returns the most bytes read from the endpoint within any second.
func (f *twoRegionFleet) maxReadPerSecond() (most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, sum := 0, 0
	for _, r := range f.reads {
		sum += r.bytes
		for r.at.Sub(f.reads[first].at) > time.Second {
			sum -= f.reads[first].bytes
			first++
		}
		most = max(most, sum)
	}
	return most
}

func startTwoRegionFleet(t *testing.T, g *WithT) *twoRegionFleet {
	objects := store.New()
	storeAddress := serve(t, g, objects.Handler())
	endpointAddress := serve(t, g, http.HandlerFunc(servePicture))
	fast, err := document.Parse([]byte(fmt.Sprintf(fleetText, 1000)))
	g.Expect(err).NotTo(HaveOccurred())
	f := &twoRegionFleet{network: &link.Network{Fleet: fast.Fleet}, endpoint: endpointAddress}
	f.network.SetLocation(endpointAddress, link.Location{VM: "e1", Region: "far", DataCentre: "far-1"})
	client := wire.New("http://" + storeAddress + "/")
	for name, text := range map[string]string{"fleet": fmt.Sprintf(fleetText, linkMbit), "art": fmt.Sprintf(serviceText, endpointAddress)} {
		record, err := json.Marshal(document.Record{Name: name, Revision: 1, Text: text})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(context.Background(), document.ObjectPrefix+name, record, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	for _, region := range []string{"near", "far"} {
		f.startVM(t, g, "entry-"+region, region, storeAddress)
	}
	return f
}

func (f *twoRegionFleet) startVM(t *testing.T, g *WithT, name, region, storeAddress string) {
	config := settings.Settings{
		Name: name, Region: region, DataCentre: region + "-1", Store: "http://" + storeAddress + "/",
		CallerAddress: freeAddress(g), PeerAddress: freeAddress(g), OperatorAddress: freeAddress(g),
	}
	place := link.Location{VM: name, Region: region, DataCentre: region + "-1"}
	f.network.SetLocation(config.PeerAddress, place)
	if region == "near" {
		f.nearAddress = config.CallerAddress
	}
	listed, err := json.Marshal(vm.VM{
		Name: name, Role: vm.RoleEntry, State: vm.StateLive, Region: region, DataCentre: config.DataCentre,
		CallerAddress: config.CallerAddress, PeerAddress: config.PeerAddress,
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
		_ = (&process.Process{Settings: config, Log: log, Dial: f.dialer(place)}).Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-ended })
}

// send sends a request to the near VM and returns the status, or 0 without a complete
// response.
func (f *twoRegionFleet) send(method, target string, body []byte) int {
	request, err := http.NewRequest(method, "http://"+f.nearAddress+target, bytes.NewReader(body))
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

// sendConcurrently sends count requests at once, each repeatedly until it succeeds.
func (f *twoRegionFleet) sendConcurrently(g *WithT, count int, send func(i int) int) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			g.Eventually(func() int { return send(i) }, "20s", "50ms").Should(Equal(http.StatusOK))
		})
	}
	group.Wait()
}

// maxSentPerSecond returns the most bytes sent from a region to the other one within
// any second.
func (f *twoRegionFleet) maxSentPerSecond(from string) int64 {
	for _, traffic := range f.network.Traffic() {
		if traffic.From == from && traffic.To != "" {
			return traffic.MaxBytesPerSecond
		}
	}
	return 0
}

func TestUploadsStayUnderTheLinksLimit(t *testing.T) {
	g := NewWithT(t)
	f := startTwoRegionFleet(t, g)
	f.sendConcurrently(g, 1, func(int) int { return f.send(http.MethodGet, "/pictures/10", nil) })
	body := make([]byte, 100_000)
	f.sendConcurrently(g, 12, func(i int) int { return f.send(http.MethodPut, fmt.Sprintf("/art/%d", i), body) })
	g.Expect(f.maxSentPerSecond("near")).To(BeNumerically("<=", linkBytesPerSecond+maxControlBytes))
	g.Expect(f.maxSentPerSecond("near")).To(BeNumerically(">", linkBytesPerSecond/10))
}

// Guards against responses exceeding a link's limit: only request bodies were paced,
// and responses were read at the speed of the network.
func TestResponsesAreReadNoFasterThanTheLinksLimit(t *testing.T) {
	g := NewWithT(t)
	f := startTwoRegionFleet(t, g)
	f.sendConcurrently(g, 1, func(int) int { return f.send(http.MethodGet, "/pictures/10", nil) })
	f.sendConcurrently(g, 6, func(int) int { return f.send(http.MethodGet, "/pictures/600000", nil) })
	g.Expect(f.maxReadPerSecond()).To(BeNumerically("<=", linkBytesPerSecond+maxControlBytes))
	g.Expect(f.maxReadPerSecond()).To(BeNumerically(">", linkBytesPerSecond/10))
}

// Guards against large uploads never reaching another region: the placer took the whole
// upload from the VM's share of the link's burst, although the stream is paced, so that
// an upload larger than that share was never placed there.
func TestUploadLargerThanTheLinksBurstGoesToAnotherRegion(t *testing.T) {
	g := NewWithT(t)
	f := startTwoRegionFleet(t, g)
	f.sendConcurrently(g, 1, func(int) int { return f.send(http.MethodGet, "/pictures/10", nil) })
	body := make([]byte, 600_000)
	f.sendConcurrently(g, 1, func(int) int { return f.send(http.MethodPut, "/art/large", body) })
	g.Expect(f.maxSentPerSecond("near")).To(BeNumerically("<=", linkBytesPerSecond+maxControlBytes))
}
