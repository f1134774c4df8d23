package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/examples"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/standin/link"
	"baobabladder.example/baobabladder/internal/standin/store"
	wire "baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Figures of the firms' endpoints and networks.
const (
	maxConnections = 330
	connectionCost = 1 * clock.Millis(1)
	coldRuns       = 3
	coldPercent    = 100
	pollInterval   = 20 * clock.Millis(1)
	endTimeout     = 5 * clock.Second

	lookUpTime = 20 * clock.Millis(1)
	orderTime  = 60 * clock.Millis(1)
	uploadTime = 100 * clock.Millis(1)
)

var errorNamespace = errorx.NewNamespace("demo")

// errNotHeld says that the system did not do what it promises.
var errNotHeld = errorNamespace.NewType("not_held")

// firm is everything that runs.
type firm struct {
	name     string
	log      logrus.FieldLogger
	network  *link.Network
	store    *store.Store
	client   *wire.Client
	storeURL string
	fleet    *document.Fleet
	services []*service
	// endpoints holds the stand-ins by name.
	endpoints map[string]*endpoint.Endpoint
	entries   []*entry
	callers   []*caller
	keys      []issuedKey
	tally     *tally

	running sync.WaitGroup
	// stopAll ends everything that runs.
	stopAll context.CancelFunc
}

// storePlaces is where each firm's store runs.
var storePlaces = map[string]link.Place{
	examples.MunroLennox: {VM: "store", Region: "lothian", DataCentre: "lothian-1"},
	examples.TresTintas:  {VM: "store", Region: "montevideo", DataCentre: "montevideo-1"},
}

// service is a service's document in force, as text and parsed.
type service struct {
	*document.Service
	text     string
	revision int64
}

// startFirm starts all parts of a firm. Every address of the example's files is
// replaced by a free one, so that runs side by side don't collide.
func startFirm(ctx context.Context, name string, log logrus.FieldLogger) (f *firm, err error) {
	defer fault.Annotate(&err, "starting the firm")
	example, err := examples.Load(name)
	if err != nil {
		return nil, err
	}
	ctx, stopAll := context.WithCancel(ctx)
	f = &firm{name: name, log: log, network: &link.Network{}, store: store.New(), endpoints: map[string]*endpoint.Endpoint{}, tally: newTally(), stopAll: stopAll}
	defer func() {
		if err != nil {
			f.stop()
		}
	}()
	if err := f.startStore(ctx); err != nil {
		return f, err
	}
	for _, text := range example.Documents {
		if err := f.addDocument(ctx, text); err != nil {
			return f, err
		}
	}
	if err := f.addEntries(ctx, example.Settings); err != nil {
		return f, err
	}
	f.addCallers()
	if err := f.awaitReady(ctx, startTimeout); err != nil {
		return f, err
	}
	return f, f.issueKeys(ctx)
}

// stop ends everything and waits for it, but not for ever: a part that does not
// end is logged.
func (f *firm) stop() {
	for _, caller := range f.callers {
		caller.http.CloseIdleConnections()
	}
	for _, entry := range f.entries {
		f.network.CutVM(entry.settings.Name, false)
	}
	f.stopAll()
	ended := make(chan struct{})
	go func() {
		f.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-clockAfter(context.Background(), endTimeout):
		f.log.Error("a part of the demo did not end")
	}
}

// start runs a part until the end of the firm.
func (f *firm) start(name string, run func() error) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		if err := run(); err != nil {
			f.log.WithError(err).Errorf("%s ended", name)
		}
	}()
}

func (f *firm) startStore(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.store.Handler()}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	f.start("the store", func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	f.storeURL = "http://" + listener.Addr().String() + "/"
	f.network.Locate(listener.Addr().String(), storePlaces[f.name])
	f.client = wire.New(f.storeURL)
	return nil
}

var (
	addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	// placePattern matches settings that name other processes than the VM's own.
	placePattern = regexp.MustCompile(`(?m)^(store|peers) = .*$`)
)

// addDocument starts a document's endpoints and writes it to the store.
func (f *firm) addDocument(ctx context.Context, text string) error {
	listeners := map[string]net.Listener{}
	text, err := replaceAddresses(text, listeners)
	if err != nil {
		return err
	}
	parsed, err := document.Parse([]byte(text))
	if err != nil {
		return err
	}
	if parsed.Fleet != nil {
		f.setFleet(parsed.Fleet)
		return f.write(ctx, parsed.Name, text)
	}
	added := &service{Service: parsed.Service}
	f.services = append(f.services, added)
	for i := range parsed.Service.Endpoints {
		declared := &parsed.Service.Endpoints[i]
		f.addEndpoint(ctx, added, declared, listeners[declared.Address])
	}
	added.text, added.revision = text, 1
	return f.write(ctx, parsed.Name, text)
}

// replaceAddresses puts a listening address in place of each address in text.
func replaceAddresses(text string, listeners map[string]net.Listener) (replaced string, err error) {
	replaced = addressPattern.ReplaceAllStringFunc(text, func(old string) string {
		listener, e := net.Listen("tcp", "127.0.0.1:0")
		if e != nil {
			err = e
			return old
		}
		listeners[listener.Addr().String()] = listener
		return listener.Addr().String()
	})
	return replaced, err
}

func (f *firm) setFleet(fleet *document.Fleet) {
	f.fleet = fleet
	f.network.Fleet = fleet
	f.network.BetweenDataCentres = 1000
	f.network.ToClients = 1000
	if f.name == examples.TresTintas {
		f.network.BetweenDataCentres = 1500
		f.network.ToClients = 3000
	}
}

// addEndpoint starts an endpoint's stand-in.
func (f *firm) addEndpoint(ctx context.Context, owner *service, declared *document.Endpoint, listener net.Listener) {
	made := &endpoint.Endpoint{
		Name: declared.Name, Version: declared.Version, Slots: declared.Slots,
		ServiceTime: serviceTime(owner.Service), Spread: 20, Seed: uint64(len(f.endpoints)),
		ColdRuns: coldRuns, ColdPercent: coldPercent,
		MaxConnections: maxConnections, ConnectionCost: connectionCost,
	}
	f.endpoints[declared.Name] = made
	f.network.Locate(declared.Address, link.Place{VM: declared.Name, Region: declared.Region, DataCentre: declared.DataCentre})
	f.store.ListVM(vm.VM{Name: declared.Name, Role: vm.Endpoint, State: vm.Live, Region: declared.Region, DataCentre: declared.DataCentre})
	f.start(declared.Name, func() error { return made.Serve(ctx, listener) })
}

func serviceTime(service *document.Service) clock.Millis {
	switch {
	case workRoute(service, document.Upload, false) != nil:
		return uploadTime
	case workRoute(service, document.Order, false) != nil:
		return orderTime
	}
	return lookUpTime
}

// workRoute returns a route of the service by its kind, or nil.
func workRoute(service *document.Service, work document.Work, open bool) *document.Route {
	for i := range service.Routes {
		if service.Routes[i].Work == work && service.Routes[i].Open == open {
			return &service.Routes[i]
		}
	}
	return nil
}

// route returns a route of the given kind with its service. Look-ups go to the
// service that has nothing else.
func (f *firm) route(work document.Work, open bool) (*service, *document.Route) {
	for _, service := range f.services {
		if work == document.Catalogue && !hasOnlyCatalogue(service.Service) {
			continue
		}
		if route := workRoute(service.Service, work, open); route != nil {
			return service, route
		}
	}
	return nil, nil
}

func hasOnlyCatalogue(service *document.Service) bool {
	for _, route := range service.Routes {
		if route.Work != document.Catalogue {
			return false
		}
	}
	return true
}

// addEntries starts all entry VMs. Their ports are held together until each has
// its own, so that none is given out twice.
func (f *firm) addEntries(ctx context.Context, texts []string) error {
	listeners := map[string]net.Listener{}
	var all []settings.Settings
	for _, text := range texts {
		text, err := replaceAddresses(placePattern.ReplaceAllString(text, ""), listeners)
		if err != nil {
			return err
		}
		read, err := settings.Parse([]byte(text + "store = " + f.storeURL + "\n"))
		if err != nil {
			return err
		}
		if len(all) > 0 {
			read.Peers = []string{all[0].PeerAddress}
		}
		all = append(all, read)
	}
	for _, listener := range listeners {
		_ = listener.Close()
	}
	for _, read := range all {
		f.entries = append(f.entries, f.startEntry(ctx, read))
	}
	return nil
}

// awaitReady waits until each entry VM answers an open look-up.
func (f *firm) awaitReady(ctx context.Context, timeout clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	_, route := f.route(document.Catalogue, true)
	for _, entry := range f.entries {
		for {
			answer, err := f.callers[0].try(ctx, entry, &request{method: http.MethodGet, path: route.Prefix + "ready"})
			if err == nil && answer.status == http.StatusOK {
				break
			}
			if clock.Sleep(ctx, pollInterval) != nil {
				return errNotHeld.New("%s does not serve after %d ms: %s", entry.settings.Name, timeout, describe(answer, err))
			}
		}
	}
	return nil
}

func describe(answer *answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("status %d %s", answer.status, answer.reason)
}
