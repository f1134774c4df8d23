package demo

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	standin "baobabladder.example/baobabladder/internal/standin/firm"
)

// Figures of the endpoints.
const (
	coldRuns     = 3
	coldPercent  = 100
	spread       = 20
	pollInterval = 20 * clock.Millis(1)

	lookUpTime = 20 * clock.Millis(1)
	orderTime  = 60 * clock.Millis(1)
	uploadTime = 100 * clock.Millis(1)
)

var errorNamespace = errorx.NewNamespace("demo")

// errNotHeld says that the system did not do what it promises.
var errNotHeld = errorNamespace.NewType("not_held")

// firm is everything that runs, with its callers.
type firm struct {
	*standin.Firm
	callers []*caller
	tally   *tally
}

// startFirm starts a firm and its callers.
func startFirm(ctx context.Context, name string, log logrus.FieldLogger) (f *firm, err error) {
	started, err := standin.Start(ctx, standin.Config{Name: name, Log: log, ConfigureEndpoint: shape})
	if err != nil {
		return nil, err
	}
	f = &firm{Firm: started, tally: newTally()}
	f.addCallers()
	return f, nil
}

// stop ends the callers' connections and then everything else.
func (f *firm) stop() {
	for _, caller := range f.callers {
		caller.http.CloseIdleConnections()
	}
	f.Stop()
}

// shape gives an endpoint its service time and its cold start.
func shape(owner *document.Service, made *endpoint.Endpoint) {
	made.ServiceTime, made.JitterPercent = serviceTime(owner), spread
	made.WarmUpRequests, made.WarmUpSlowPercent = coldRuns, coldPercent
}

func serviceTime(service *document.Service) clock.Millis {
	switch {
	case standin.FindRoute(service, document.WorkUpload, false) != nil:
		return uploadTime
	case standin.FindRoute(service, document.WorkOrder, false) != nil:
		return orderTime
	}
	return lookUpTime
}
