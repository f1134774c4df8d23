package trial

import (
	"bytes"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"

	"baobabladder.example/baobabladder/platform/standin"
)

// Network puts proxies between VMs, endpoints and the store. Each VM reads the store through an
// address of its own, where the addresses of other VMs and of endpoints are replaced by those of
// proxies.
type Network struct {
	trial *Trial

	mu sync.Mutex
	// addresses holds the addresses of each VM and endpoint that VMs call, by name. Guarded by mu.
	addresses map[string][]string
	// proxies holds the proxy from a VM to an address. Guarded by mu.
	proxies map[link]*proxy
	// isCutOff holds the VMs and endpoints that are partitioned from the others, and from the
	// store. Guarded by mu.
	isCutOff map[string]bool
}

// link leads from a VM to an address of another VM or of an endpoint.
type link struct{ from, to, address string }

// NewNetwork returns a network without VMs.
func (t *Trial) NewNetwork() *Network {
	return &Network{trial: t, addresses: map[string][]string{}, proxies: map[link]*proxy{}, isCutOff: map[string]bool{}}
}

// storeAddress returns the address at which a VM reads the store.
func (n *Network) storeAddress(vm string) (address string, err error) {
	address, stop, err := standin.Serve(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if n.isCut(vm) {
			<-request.Context().Done()
			return
		}
		recorder := httptest.NewRecorder()
		n.trial.Store.ServeHTTP(recorder, request)
		if n.isCut(vm) {
			<-request.Context().Done()
			return
		}
		body := n.translate(vm, recorder.Body.Bytes())
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(body)
	}))
	if err == nil {
		n.trial.stops = append(n.trial.stops, stop)
	}
	return address, err
}

// AddEndpoint puts proxies between VMs and an endpoint.
func (n *Network) AddEndpoint(e *Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addresses[e.ID] = []string{e.Address}
}

func (n *Network) isCut(vm string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCutOff[vm]
}

// translate replaces the addresses of other VMs and of endpoints by those of proxies.
func (n *Network) translate(vm string, body []byte) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other, addresses := range n.addresses {
		if other == vm {
			continue
		}
		for _, address := range addresses {
			quoted := []byte(`"` + address + `"`)
			if !bytes.Contains(body, quoted) {
				continue
			}
			if p := n.proxy(link{vm, other, address}); p != nil {
				body = bytes.ReplaceAll(body, quoted, []byte(`"`+p.listener.Addr().String()+`"`))
			}
		}
	}
	return body
}

// proxy returns the proxy of a link. The caller must hold mu.
func (n *Network) proxy(l link) *proxy {
	if known := n.proxies[l]; known != nil {
		return known
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil
	}
	p := &proxy{listener: listener, target: l.address, isCut: n.isCutOff[l.from] != n.isCutOff[l.to]}
	n.proxies[l] = p
	n.trial.stops = append(n.trial.stops, func() { _ = listener.Close() })
	go p.serve()
	return p
}

// Cut partitions VMs and endpoints from all others and from the store: what is sent is lost, and
// new connections hang. Callers reach all of them.
func (n *Network) Cut(vms ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, vm := range vms {
		n.isCutOff[vm] = true
	}
	for l, p := range n.proxies {
		p.setCut(n.isCutOff[l.from] != n.isCutOff[l.to])
	}
}

// proxy copies connections to a target, or holds them without an answer.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// isCut is set while nothing passes. Guarded by mu.
	isCut bool
}

func (p *proxy) setCut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = isCut
}

func (p *proxy) passes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isCut
}

func (p *proxy) serve() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.copyBoth(accepted)
	}
}

func (p *proxy) copyBoth(accepted net.Conn) {
	defer accepted.Close()
	if !p.passes() {
		_, _ = io.Copy(io.Discard, accepted)
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	go p.copy(accepted, target)
	p.copy(target, accepted)
}

// copy copies one direction. What comes during a cut is lost.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.passes() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
