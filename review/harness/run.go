package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"baobabladder.example/baobabladder/internal/standin/loopback"
	"baobabladder.example/baobabladder/platform/standin"
)

const (
	// program is the product as the deploy file builds it, from the repository's root.
	program = "target/baobabladder"
	// readyTimeout bounds the time until a gateway is ready.
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// run is one run of a case.
type run struct {
	// hasTrouble reports whether the disruption takes place.
	hasTrouble bool
	store      *standin.Store
	// storeAddress is the address at which the store listens.
	storeAddress string
	// folder holds the settings files and the logs of the gateways.
	folder    string
	startedAt time.Time

	mu sync.Mutex
	// file is the record. Guarded by mu.
	file *os.File
	// gateways holds all gateways that were started. Guarded by mu.
	gateways []*gateway
	// isClosed is set by close. Guarded by mu.
	isClosed bool
}

// newRun starts a store and opens the record.
func newRun(recordFolder string, hasTrouble bool) (*run, error) {
	file, err := os.Create(filepath.Join(recordFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &run{hasTrouble: hasTrouble, store: &standin.Store{}, folder: folder, file: file, startedAt: time.Now()}
	if r.storeAddress, _, err = standin.Serve(r.store); err != nil {
		return nil, err
	}
	r.record("trouble: %t", hasTrouble)
	return r, nil
}

// record writes a line to the record.
func (r *run) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all gateways and removes their files.
func (r *run) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return
	}
	r.isClosed = true
	for _, g := range r.gateways {
		g.kill()
		_ = g.log.Close()
	}
	_ = os.RemoveAll(r.folder)
	_ = r.file.Close()
}

// gateway is one VM, whose process may be killed and started again.
type gateway struct {
	name string
	// settings is the path of the settings file.
	settings string
	// callers and ready are addresses of the process.
	callers, ready string
	log            *os.File
	process        *exec.Cmd
}

// location is where a gateway runs.
type location struct{ dataCentre, region string }

// newGateway prepares a gateway that reaches the store at an address. Its settings are
// those that deploy/gateway.ini.tmpl gives for a small deployment.
func (r *run) newGateway(name string, at location, storeAddress string, peers ...*gateway) (*gateway, error) {
	host := loopback.New()
	addresses := map[string]string{}
	for _, port := range []string{"caller", "ready", "lookup", "peer", "metrics", "forward"} {
		address, err := host.UnusedAddress()
		if err != nil {
			return nil, err
		}
		addresses[port] = address
	}
	seeds := []string{addresses["peer"]}
	for _, peer := range peers {
		seeds = append(seeds, peer.peerAddress())
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[vm]\nname = %s\nregion = %s\ndata_centre = %s\nstore = %s\n", name, at.region, at.dataCentre, storeAddress)
	for port, address := range addresses {
		fmt.Fprintf(&text, "%s_address = %s\n", port, address)
	}
	fmt.Fprintf(&text, "peers = %s\nfirst_start = false\n%s", strings.Join(seeds, ","), commonSettings)
	g := &gateway{name: name, settings: filepath.Join(r.folder, name+".ini"), callers: addresses["caller"], ready: addresses["ready"]}
	if err := os.WriteFile(g.settings, []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	var err error
	g.log, err = os.Create(filepath.Join(r.folder, name+".log"))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gateways = append(r.gateways, g)
	return g, err
}

// commonSettings is the end of all settings files.
const commonSettings = `
[data_centres]
leith = lothian
dyce = grampian

[bounds]
stop_grace = 6s
lookup_lifetime = 5s
retry_ratio = 0.2
retry_slack = 56
retry_window = 10s
trial_share = 0.1
trial_slack = 50
cold_overage = 1.5
cold_slack = 5
`

// peerAddress returns the address for other gateways, as the settings file holds it.
func (g *gateway) peerAddress() string {
	text, _ := os.ReadFile(g.settings)
	for line := range strings.Lines(string(text)) {
		if address, found := strings.CutPrefix(line, "peer_address = "); found {
			return strings.TrimSpace(address)
		}
	}
	return ""
}

// start starts the process as the deploy file does.
func (r *run) start(g *gateway) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return errors.New("the run has ended")
	}
	g.process = exec.Command(program, "gateway")
	g.process.Env = []string{"BAOBABLADDER_NODE_FILE=" + g.settings, "PATH=" + os.Getenv("PATH")}
	g.process.Stdout, g.process.Stderr = g.log, g.log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g.process.Start()
}

// recordLog records the lines of a gateway's log that hold a text.
func (r *run) recordLog(g *gateway, text string) {
	log, _ := os.ReadFile(g.log.Name())
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, text) {
			r.record("log of %s: %s", g.name, strings.TrimSpace(line))
		}
	}
}

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	if g.process == nil {
		return
	}
	_ = g.process.Process.Kill()
	_ = g.process.Wait()
	g.process = nil
}

// awaitReady waits until the platform's check finds the gateway ready.
func (r *run) awaitReady(g *gateway) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPoll) {
		response, err := client.Get("http://" + g.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			r.record("%s is ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, readyTimeout)
}

// registered is an endpoint with its entry in the store.
type registered struct {
	standin.Endpoint
	entry string
}

// addEndpoint starts an endpoint and registers it.
func (r *run) addEndpoint(id, service string, at location) (*registered, error) {
	e := &registered{Endpoint: standin.Endpoint{ID: id, ServiceTime: serviceTime}}
	address, _, err := e.Serve()
	if err != nil {
		return nil, err
	}
	e.entry = fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_left":"0ms","seq":1,"born":%d}`,
		service, address, at.dataCentre, r.startedAt.Add(-time.Hour).UnixMilli())
	r.store.Put("servers", id, e.entry)
	return e, nil
}

// serviceTime is how long an endpoint takes for a request.
const serviceTime = 50 * time.Millisecond

// The tenants' names and keys, and the host of all routes.
const (
	tenantA, keyA = "tenant-a", "k3vq8s1mzt5x7c2p9d4w"
	tenantB, keyB = "tenant-b", "u6hr2n9fjb1g8y4e7l3a"
	host          = "labels.example"
)

// putConfig writes the configuration.
func (r *run) putConfig() {
	r.store.Put("config", "main", fmt.Sprintf(`{"version":"00000007","routes":[
		{"name":"r-read","host":%[1]q,"path_prefix":"/read/","kind":"idempotent","timeout":"1200ms","target_latency":"600ms","priority":2,"service":"catalogue","max_attempts":2,"public":false,"sticky":true,"home_regions":[]},
		{"name":"r-order","host":%[1]q,"path_prefix":"/order/","kind":"non_idempotent","timeout":"1500ms","target_latency":"800ms","priority":1,"service":"catalogue","max_attempts":2,"public":false,"sticky":true,"home_regions":[]}],
		"services":[{"name":"catalogue","health_path":"/health","max_conns":330,"cold_start":"3s","cold_per_s":2.5},{"name":"orders","health_path":"/health","max_conns":330,"cold_start":"3s","cold_per_s":2.5}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
		"tenants":[{"name":%[2]q,"api_keys":[%[3]q],"priority":0,"rate_per_s":0,"burst":0,"home_regions":[]},{"name":%[4]q,"api_keys":[%[5]q],"priority":0,"rate_per_s":0,"burst":0,"home_regions":[]}]}`,
		host, tenantA, keyA, tenantB, keyB))
}
