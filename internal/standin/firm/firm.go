// Package firm runs a firm of package examples in one process over loopback sockets: the
// stand-ins of the store and of all endpoints, all entry VMs, and the simulated network
// between the regions. The store, each endpoint and each entry VM is a component of the
// firm. Packages demo and measure are built on this package.
package firm

import (
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/examples"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/standin/link"
	"baobabladder.example/baobabladder/internal/standin/loopback"
	"baobabladder.example/baobabladder/internal/standin/store"
	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
	wire "baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// startTimeout limits the time until every entry VM answers requests, and
	// stopTimeout the time until all components have stopped.
	startTimeout = 15 * clock.Second
	stopTimeout  = 5 * clock.Second
	// pollInterval is the interval at which a starting entry VM is probed.
	pollInterval = 20 * clock.Millis(1)

	// maxConnections and acceptDelay are MaxConnections and AcceptDelay of every
	// endpoint.
	maxConnections = 330
	acceptDelay    = 1 * clock.Millis(1)
)

// Config describes the firm to start.
type Config struct {
	// Name is a firm's name in package examples.
	Name string
	// Log receives the logs of the entry VMs and of the firm.
	Log logrus.FieldLogger
	// EditDocument, if set, changes the text of each document before it is parsed.
	EditDocument func(text string) string
	// ConfigureEndpoint, if set, changes an endpoint before it starts.
	ConfigureEndpoint func(owner *document.Service, standIn *endpoint.Endpoint)
	// NoNetworkDelays omits the latency and bandwidth limits of the network.
	NoNetworkDelays bool
	// ServeEntryVM, if set, runs in place of each entry VM's process.
	ServeEntryVM func(ctx context.Context, firm *Firm, vmSettings settings.Settings) error
}

// Firm is a started firm with all its components.
type Firm struct {
	Config
	Network  *link.Network
	Store    *store.Store
	Fleet    *document.Fleet
	Services []*Service
	// Endpoints holds the stand-ins by name. Use the Endpoint method where endpoints
	// may be started concurrently.
	Endpoints map[string]*endpoint.Endpoint
	EntryVMs  []*EntryVM
	// Keys holds one API key for each workspace of the first service, in the order of
	// its document.
	Keys []Key

	// advertisedEntryVMs holds the result of AdvertisedEntryVMs. It is set before the
	// entry VMs start.
	advertisedEntryVMs []wireCaller.EntryVM
	// currentServices holds the result of CurrentServices.
	currentServices atomic.Pointer[[]*document.Service]
	// mu makes StartEndpoint and Endpoint safe to call concurrently.
	mu       sync.RWMutex
	client   *wire.Client
	storeURL string
	// components counts the running components.
	components sync.WaitGroup
	// cancelAll cancels the context of all components.
	cancelAll context.CancelFunc
}

// Service is the current document of a service, parsed and as text, with its revision in
// the store.
type Service struct {
	*document.Service
	Text     string
	Revision int64
}

// storeLocations holds the location of each firm's store.
var storeLocations = map[string]link.Location{
	examples.MunroLennox: {VM: "store", Region: "lothian", DataCentre: "lothian-1"},
	examples.TresTintas:  {VM: "store", Region: "montevideo", DataCentre: "montevideo-1"},
}

// Start starts all components of a firm and waits until its entry VMs answer requests.
// It replaces every address in the example's files by an unused one, so that several
// firms can run at the same time.
func Start(ctx context.Context, config Config) (f *Firm, err error) {
	defer fault.Annotate(&err, "starting firm %s", config.Name)
	example, err := examples.Load(config.Name)
	if err != nil {
		return nil, err
	}
	ctx, cancelAll := context.WithCancel(ctx)
	f = &Firm{Config: config, Network: &link.Network{}, Store: store.New(), Endpoints: map[string]*endpoint.Endpoint{}, cancelAll: cancelAll}
	started := f
	defer func() {
		// If the start fails, f may be nil, but the components started so far must stop.
		if err != nil {
			started.Stop()
		}
	}()
	if err := f.startStore(ctx); err != nil {
		return nil, err
	}
	for _, text := range example.Documents {
		if err := f.loadDocument(ctx, text); err != nil {
			return nil, err
		}
	}
	if err := f.startEntryVMs(ctx, example.Settings); err != nil {
		return nil, err
	}
	if err := f.awaitReady(ctx, startTimeout); err != nil {
		return nil, err
	}
	return f, f.issueKeys(ctx)
}

// Endpoint returns the stand-in with the given name, or nil. It may be called
// concurrently with StartEndpoint.
func (f *Firm) Endpoint(name string) *endpoint.Endpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.Endpoints[name]
}

// NewUnstarted returns a firm with one service and one endpoint, for calculations on its
// documents. It starts no component.
func NewUnstarted(fleet *document.Fleet, service *document.Service, standIn *endpoint.Endpoint) *Firm {
	f := &Firm{Network: &link.Network{}, Fleet: fleet, Services: []*Service{{Service: service}}}
	f.Endpoints = map[string]*endpoint.Endpoint{service.Endpoints[0].Name: standIn}
	f.updateCurrentServices()
	return f
}

// Stop stops all components and waits for them for at most stopTimeout. It logs an error
// if a component is still running then.
func (f *Firm) Stop() {
	f.Network.HealAll()
	f.cancelAll()
	ended := make(chan struct{})
	go func() {
		f.components.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-After(context.Background(), stopTimeout):
		f.Log.Error("a component of the firm did not stop within the stop timeout")
	}
}

// After returns a channel that is closed after d or when ctx ends.
func After(ctx context.Context, d clock.Millis) <-chan struct{} {
	passed := make(chan struct{})
	go func() {
		defer close(passed)
		_ = clock.Sleep(ctx, d)
	}()
	return passed
}

// startComponent runs a component in a goroutine that Stop waits for, and logs its error.
func (f *Firm) startComponent(name string, run func() error) {
	f.components.Add(1)
	go func() {
		defer f.components.Done()
		if err := run(); err != nil {
			f.Log.WithError(err).Errorf("%s stopped with an error", name)
		}
	}()
}

func (f *Firm) startStore(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.Store.Handler()}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	f.startComponent("the store", func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	f.storeURL = "http://" + listener.Addr().String() + "/"
	f.Network.SetLocation(listener.Addr().String(), storeLocations[f.Name])
	f.client = wire.New(f.storeURL)
	return nil
}

var (
	addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	// remoteProcessPattern matches the settings with addresses of other processes.
	remoteProcessPattern = regexp.MustCompile(`(?m)^(store|peers) = .*$`)
)

// loadDocument starts the endpoints of a document, or sets up the network from a fleet
// document, and writes the document to the store.
func (f *Firm) loadDocument(ctx context.Context, text string) error {
	listeners := listeners{}
	text, err := replaceAddresses(text, listeners.listen)
	if err != nil {
		return err
	}
	if f.EditDocument != nil {
		text = f.EditDocument(text)
	}
	parsed, err := document.Parse([]byte(text))
	if err != nil {
		return err
	}
	if parsed.Fleet != nil {
		f.setFleet(parsed.Fleet)
		return f.putDocument(ctx, parsed.Name, text)
	}
	added := &Service{Service: parsed.Service, Text: text, Revision: 1}
	f.Services = append(f.Services, added)
	for i := range parsed.Service.Endpoints {
		declared := &parsed.Service.Endpoints[i]
		f.StartEndpoint(ctx, added, declared, listeners[declared.Address])
	}
	return f.putDocument(ctx, parsed.Name, text)
}

// replaceAddresses replaces each address in text by one from newAddress.
func replaceAddresses(text string, newAddress func() (string, error)) (replaced string, err error) {
	replaced = addressPattern.ReplaceAllStringFunc(text, func(old string) string {
		address, e := newAddress()
		if e != nil {
			err = e
			return old
		}
		return address
	})
	return replaced, err
}

// listeners holds open listeners by their address.
type listeners map[string]net.Listener

// listen opens a listener on an unused port and returns its address.
func (l listeners) listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l[listener.Addr().String()] = listener
	return listener.Addr().String(), nil
}

func (f *Firm) setFleet(fleet *document.Fleet) {
	f.Fleet = fleet
	if f.NoNetworkDelays {
		return
	}
	f.Network.Fleet = fleet
	f.Network.DataCentreRoundTripMicros = 1000
	f.Network.ClientRoundTripMicros = 1000
	if f.Name == examples.TresTintas {
		f.Network.DataCentreRoundTripMicros = 1500
		f.Network.ClientRoundTripMicros = 3000
	}
}

// StartEndpoint starts the stand-in for an endpoint declared in a document and adds it to
// the platform's list of VMs.
func (f *Firm) StartEndpoint(ctx context.Context, owner *Service, declared *document.Endpoint, listener net.Listener) {
	standIn := &endpoint.Endpoint{
		Name: declared.Name, Version: declared.Version, Slots: declared.Slots, Seed: uint64(len(f.Endpoints)),
		MaxConnections: maxConnections, AcceptDelay: acceptDelay,
	}
	if f.ConfigureEndpoint != nil {
		f.ConfigureEndpoint(owner.Service, standIn)
	}
	f.mu.Lock()
	f.Endpoints[declared.Name] = standIn
	f.mu.Unlock()
	f.Network.SetLocation(declared.Address, link.Location{VM: declared.Name, Region: declared.Region, DataCentre: declared.DataCentre})
	f.Store.PutVM(vm.VM{Name: declared.Name, Role: vm.RoleEndpoint, State: vm.StateLive, Region: declared.Region, DataCentre: declared.DataCentre})
	f.startComponent(declared.Name, func() error { return standIn.Serve(ctx, listener) })
}

// startEntryVMs starts an entry VM for each text of settings. The settings of all others
// name the first one as their only peer.
func (f *Firm) startEntryVMs(ctx context.Context, texts []string) error {
	host := loopback.New()
	var allSettings []settings.Settings
	for _, text := range texts {
		text, err := replaceAddresses(remoteProcessPattern.ReplaceAllString(text, ""), host.UnusedAddress)
		if err != nil {
			return err
		}
		vmSettings, err := settings.Parse([]byte(text + "store = " + f.storeURL + "\n"))
		if err != nil {
			return err
		}
		if len(allSettings) > 0 {
			vmSettings.Peers = []string{allSettings[0].PeerAddress}
		}
		allSettings = append(allSettings, vmSettings)
	}
	for _, vmSettings := range allSettings {
		f.advertisedEntryVMs = append(f.advertisedEntryVMs, wireCaller.EntryVM{Name: vmSettings.Name, Address: vmSettings.CallerAddress, Region: vmSettings.Region, DataCentre: vmSettings.DataCentre})
	}
	f.updateCurrentServices()
	for _, vmSettings := range allSettings {
		f.EntryVMs = append(f.EntryVMs, f.StartEntryVM(ctx, vmSettings))
	}
	return nil
}

// AdvertisedEntryVMs returns all entry VMs of the example in the form in which callers get
// them.
func (f *Firm) AdvertisedEntryVMs() []wireCaller.EntryVM { return f.advertisedEntryVMs }

// CurrentServices returns the current documents of all services. It may be called
// concurrently with Apply.
func (f *Firm) CurrentServices() []*document.Service { return *f.currentServices.Load() }

func (f *Firm) updateCurrentServices() {
	var services []*document.Service
	for _, service := range f.Services {
		services = append(services, service.Service)
	}
	f.currentServices.Store(&services)
}

// awaitReady waits until each entry VM answers a public catalogue look-up with status
// 200. It returns a TimeoutElapsed error after timeout.
func (f *Firm) awaitReady(ctx context.Context, timeout clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	_, route := f.Route(document.WorkCatalogue, true)
	for _, entry := range f.EntryVMs {
		for {
			response, err := get(ctx, "http://"+entry.Settings.CallerAddress+route.Prefix+"ready")
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if clock.Sleep(ctx, pollInterval) != nil {
				return errorx.TimeoutElapsed.New("entry VM %s did not answer a public look-up within %d ms", entry.Settings.Name, timeout)
			}
		}
	}
	return nil
}

// get sends a GET request on a new connection and reads and discards the response's
// body.
func get(ctx context.Context, url string) (response *http.Response, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	request.Close = true
	response, err = http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
