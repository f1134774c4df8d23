package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
)

// endpointFlags holds the flags that apply to all endpoints of a process.
type endpointFlags struct {
	serviceTime    time.Duration
	spreadPercent  int
	seed           uint64
	coldRuns       int
	coldPercent    int
	maxConnections int
	connectionCost time.Duration
}

func (f *endpointFlags) register(clause *kingpin.CmdClause) {
	clause.Flag("service-time", "Mean service time of a request.").Default("20ms").DurationVar(&f.serviceTime)
	clause.Flag("spread", "Random variation of the service times in percent, in both directions.").Default("0").IntVar(&f.spreadPercent)
	clause.Flag("seed", "Random seed of the service times.").Default("1").Uint64Var(&f.seed)
	clause.Flag("cold-runs", "Number of requests until the endpoint is warm.").Default("0").IntVar(&f.coldRuns)
	clause.Flag("cold-percent", "Percentage by which the first request is slower.").Default("300").IntVar(&f.coldPercent)
	clause.Flag("max-connections", "Maximum number of open connections; 0 is unlimited.").Default("330").IntVar(&f.maxConnections)
	clause.Flag("connection-cost", "Time to accept each new connection.").Default("1ms").DurationVar(&f.connectionCost)
}

// newEndpoint returns an endpoint with the flags' values. index is added to the seed, so
// that each endpoint of a process gets a different one.
func (f *endpointFlags) newEndpoint(index int) *endpoint.Endpoint {
	return &endpoint.Endpoint{
		ServiceTime:       clock.FromDuration(f.serviceTime),
		JitterPercent:     f.spreadPercent,
		Seed:              f.seed + uint64(index),
		WarmUpRequests:    f.coldRuns,
		WarmUpSlowPercent: f.coldPercent,
		MaxConnections:    f.maxConnections,
		AcceptDelay:       clock.FromDuration(f.connectionCost),
	}
}

func endpointCommand(app *kingpin.Application) command {
	clause := app.Command("endpoint", "Run a stand-in of one endpoint.")
	address := clause.Flag("address", "IP:port to listen on.").Default("127.0.0.1:7100").String()
	name := clause.Flag("name", "The endpoint's name.").Default("endpoint-1").String()
	version := clause.Flag("version", "The version that the endpoint runs.").Default("v1").String()
	slots := clause.Flag("slots", "Maximum number of concurrent requests; 0 is unlimited.").Default("3").Int()
	flags := &endpointFlags{}
	flags.register(clause)
	return command{clause, func(ctx context.Context) error {
		e := flags.newEndpoint(0)
		e.Name, e.Version, e.Slots = *name, *version, *slots
		return serveEndpoint(ctx, *address, e)
	}}
}

func endpointsCommand(app *kingpin.Application) command {
	clause := app.Command("endpoints", "Run stand-ins of all endpoints of a service's document in one process.")
	file := clause.Arg("document", "File with the service's document.").Required().ExistingFile()
	flags := &endpointFlags{}
	flags.register(clause)
	return command{clause, func(ctx context.Context) error {
		text, err := os.ReadFile(*file)
		if err != nil {
			return err
		}
		parsed, err := document.Parse(text)
		if err != nil {
			return err
		}
		if parsed.Service == nil {
			return errorx.IllegalArgument.New("%s is not a service's document", *file)
		}
		return serveEndpoints(ctx, parsed.Service, flags)
	}}
}

// serveEndpoints runs all endpoints of a service until ctx is done or one of them fails.
func serveEndpoints(ctx context.Context, service *document.Service, flags *endpointFlags) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, len(service.Endpoints))
	for i, declared := range service.Endpoints {
		e := flags.newEndpoint(i)
		e.Name, e.Version, e.Slots = declared.Name, declared.Version, declared.Slots
		go func() { ended <- serveEndpoint(ctx, declared.Address, e) }()
	}
	for range service.Endpoints {
		if err := <-ended; err != nil {
			return err
		}
	}
	return nil
}

func serveEndpoint(ctx context.Context, address string, e *endpoint.Endpoint) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return e.Serve(ctx, listener)
}
