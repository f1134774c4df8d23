package main_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/standin/loopback"
	// The program is built by a child process. Without this import a change of the product leaves
	// a cached result of the test valid.
	_ "baobabladder.example/baobabladder/internal/entry/command"
	standinstore "baobabladder.example/baobabladder/internal/standin/store"
	"baobabladder.example/baobabladder/platform"
	"baobabladder.example/baobabladder/platform/standin"
)

const (
	// memoryTarget is the memory that a process may use, in MB. Its peak RSS must not exceed it.
	memoryTarget = 96
	// descriptorReserve is how many of a process's descriptors must stay unused, so that it can
	// still reach endpoints, peers and the store.
	descriptorReserve = 50
	// callerHeadBytes is within max_header_bytes, and plainHeadBytes within the default of
	// net/http's servers.
	callerHeadBytes = 16_200
	plainHeadBytes  = 1_000_000
	// holdTime is how long the connections are held before the ordinary request, so that the
	// process has read what was sent.
	holdTime = 2 * time.Second
)

const headsConfig = `{"version":"00000001","routes":[
	{"name":"r-read","host":"shop.example","path_prefix":"/read/","kind":"idempotent","timeout":"3000ms","target_latency":"600ms","service":"cat","max_attempts":2},
	{"name":"r-order","host":"shop.example","path_prefix":"/order/","kind":"non_idempotent","timeout":"30000ms","target_latency":"800ms","service":"cat","max_attempts":2}],
	"services":[{"name":"cat"}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},
	"tenants":[{"name":"t1","api_keys":["heads-key-1"]}]}`

// headsProcess is a process whose memory and descriptors are limited.
type headsProcess struct {
	t   *testing.T
	g   *WithT
	pid int
	// descriptorLimit is how many descriptors the process may open.
	descriptorLimit int
	// ask sends one ordinary request and returns the status, or 0.
	ask func() int
	// addresses holds the addresses of the ports by their names in the settings.
	addresses map[string]string
}

// startGateway starts a VM with a store and an endpoint of the test.
func startGateway(p *headsProcess) {
	store, served := &standin.Store{}, &standin.Endpoint{ID: "cat-1"}
	storeAddress, stop, err := standin.Serve(store)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.t.Cleanup(stop)
	endpointAddress, stop, err := served.Serve()
	p.g.Expect(err).NotTo(HaveOccurred())
	p.t.Cleanup(stop)
	store.Put("config", "main", headsConfig)
	store.Put("servers", "cat-1", standin.EndpointEntry("cat", endpointAddress, "n1", "v1", "ready", "0ms", 3))
	text := "[vm]\nname = vm-0\nregion = north\ndata_centre = n1\nstore = " + storeAddress + "\n" +
		p.portLines("caller_address", "ready_address", "lookup_address", "peer_address", "metrics_address", "forward_address")
	p.start("gateway", text+memoryLine+"\n[data_centres]\nn1 = north\n")
	p.ask = func() int { return p.get(p.addresses["caller_address"], "/read/x", "heads-key-1") }
	p.g.Eventually(p.ask, "30s").Should(Equal(http.StatusOK))
}

// startEntry starts a VM that is configured by documents, with a store of the test.
func startEntry(p *headsProcess) {
	storeAddress, stop, err := standin.Serve((&standinstore.Store{}).Handler())
	p.g.Expect(err).NotTo(HaveOccurred())
	p.t.Cleanup(stop)
	text := "[vm]\nname = entry-1\nregion = north\ndata_centre = n1\nstore = http://" + storeAddress + "/\n" +
		p.portLines("caller_address", "peer_address", "operator_address")
	p.start("entry", text+memoryLine)
	p.ask = func() int {
		// A VM without documents answers that it knows no route.
		return max(p.get(p.addresses["caller_address"], "/read/x", ""), p.get(p.addresses["operator_address"], "/v1/status", ""))
	}
	p.g.Eventually(p.ask, "30s").Should(Equal(http.StatusNotFound))
}

var memoryLine = fmt.Sprintf("memory_mb = %d\n", memoryTarget)

// portLines returns the settings of ports on unused addresses.
func (p *headsProcess) portLines(names ...string) (lines string) {
	host := loopback.New()
	for _, name := range names {
		address, err := host.UnusedAddress()
		p.g.Expect(err).NotTo(HaveOccurred())
		p.addresses[name] = address
		lines += name + " = " + address + "\n"
	}
	return lines
}

// start builds the program and starts it with a limit of its descriptors.
func (p *headsProcess) start(command, text string) {
	directory := p.t.TempDir()
	binary, file := filepath.Join(directory, "baobabladder"), filepath.Join(directory, "vm.ini")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	p.g.Expect(err).NotTo(HaveOccurred(), string(output))
	p.g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	process := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$1" --settings "$2"`, p.descriptorLimit), binary, command, file)
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.g.Expect(process.Start()).To(Succeed())
	p.pid = process.Process.Pid
	p.t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
}

// get sends a request on a connection of its own and returns the status, or 0.
func (p *headsProcess) get(address, path, key string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	p.g.Expect(err).NotTo(HaveOccurred())
	request.Host = "shop.example"
	request.Header.Set("Request-Id", "ordinary-"+strconv.FormatInt(time.Now().UnixNano(), 36))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// open opens connections to a port and sends the beginning of a request on each. The process
// may refuse them or close them.
func (p *headsProcess) open(port string, count int, text string) {
	for range count {
		connection, err := net.Dial("tcp", p.addresses[port])
		if err != nil {
			continue
		}
		p.t.Cleanup(func() { _ = connection.Close() })
		_ = connection.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = connection.Write([]byte(text))
	}
}

// check fails the test if the process has ended, used more memory or descriptors than it may,
// or does not answer an ordinary request.
func (p *headsProcess) check() {
	p.t.Helper()
	isAnswered, descriptors, begin := false, 0, time.Now()
	for ; !isAnswered && time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
		p.g.Expect(err).NotTo(HaveOccurred(), "the process must live")
		descriptors = max(descriptors, len(open))
		if time.Since(begin) < holdTime {
			continue
		}
		status := p.ask()
		isAnswered = status >= http.StatusOK && status < http.StatusInternalServerError
	}
	peak := p.peakMemory()
	p.t.Logf("%d MB and %d descriptors at the peak, ordinary request answered: %t", peak, descriptors, isAnswered)
	p.g.Expect(peak).To(BeNumerically("<=", memoryTarget), "MB at the peak")
	p.g.Expect(descriptors).To(BeNumerically("<=", p.descriptorLimit-descriptorReserve), "open descriptors")
	p.g.Expect(isAnswered).To(BeTrue(), "an ordinary request must be answered")
}

// peakMemory returns the process's peak RSS in MB.
func (p *headsProcess) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	p.g.Expect(err).NotTo(HaveOccurred())
	_, value, _ := strings.Cut(string(status), "VmHWM:")
	value, _, _ = strings.Cut(value, "kB")
	kilobytes, err := strconv.Atoi(strings.TrimSpace(value))
	p.g.Expect(err).NotTo(HaveOccurred())
	return kilobytes >> 10
}

// manyLines returns a head that is not ended, of the given size: lines with distinct names of
// four letters, or with one name of one letter.
func manyLines(first string, size int, isDistinct bool) string {
	var text strings.Builder
	text.WriteString(first + "\r\nHost: shop.example\r\n")
	for i := 0; text.Len() < size-7; i++ {
		name := "a"
		if isDistinct {
			name = string([]byte{'a' + byte(i/17576%26), 'a' + byte(i/676%26), 'a' + byte(i/26%26), 'a' + byte(i%26)})
		}
		text.WriteString(name + ":\r\n")
	}
	return text.String()
}

// Guards against callers that fill a VM's memory or use up its descriptors with heads of many
// lines, which take up to 20 times their bytes once parsed, or with connections that send
// nothing more.
func TestHeadsOfManyLines(t *testing.T) {
	const get, post = "GET /read/x HTTP/1.1", "POST /order/x HTTP/1.1\r\nAuthorization: Bearer heads-key-1\r\nContent-Length: 100"
	awaited := manyLines(post, callerHeadBytes, true) + "\r\n"
	plain := manyLines(get, plainHeadBytes, true)
	callers, plainPorts := []string{"caller_address", "forward_address"}, []string{"ready_address", "lookup_address", "metrics_address"}
	for _, test := range []struct {
		name        string
		start       func(p *headsProcess)
		descriptors int
		ports       []string
		// count is the number of connections to each port.
		count int
		text  string
	}{
		{"distinct names, not ended", startGateway, 2000, callers, 400, manyLines(get, callerHeadBytes, true)},
		{"one name, not ended", startGateway, 2000, callers, 400, manyLines(get, callerHeadBytes, false)},
		{"ended, body awaited", startGateway, 2000, callers, 400, awaited},
		{"ports for probes, look-ups and metrics", startGateway, 2000, plainPorts, 12, plain},
		{"descriptors", startGateway, 400, append(callers, plainPorts...), 100, "G"},
		{"entry, callers", startEntry, 2000, callers[:1], 400, manyLines(get, callerHeadBytes, true)},
		{"entry, operators", startEntry, 2000, []string{"operator_address"}, 36, plain},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &headsProcess{t: t, g: NewWithT(t), descriptorLimit: test.descriptors, addresses: map[string]string{}}
			test.start(p)
			for _, port := range test.ports {
				p.open(port, test.count, test.text)
			}
			p.check()
		})
	}
}
