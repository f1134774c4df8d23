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

// Settings of the endpoints, and the polling interval.
const (
	warmUpRequests    = 3
	warmUpSlowPercent = 100
	jitterPercent     = 20
	// pollInterval is the interval at which withdrawKey sends look-ups to an entry VM.
	pollInterval = 20 * clock.Millis(1)

	lookUpServiceTime = 20 * clock.Millis(1)
	orderServiceTime  = 60 * clock.Millis(1)
	uploadServiceTime = 100 * clock.Millis(1)
)

var errorNamespace = errorx.NewNamespace("demo")

// errStepFailed is the error type for an expectation of a step that was not met.
var errStepFailed = errorNamespace.NewType("not_held")

// firm is a started firm with its callers.
type firm struct {
	*standin.Firm
	callers  []*caller
	failures *failureCounts
}

// startFirm starts a firm and adds a caller near each of its regions.
func startFirm(ctx context.Context, name string, log logrus.FieldLogger) (f *firm, err error) {
	started, err := standin.Start(ctx, standin.Config{Name: name, Log: log, ConfigureEndpoint: configureEndpoint})
	if err != nil {
		return nil, err
	}
	f = &firm{Firm: started, failures: newFailureCounts()}
	f.addCallers()
	return f, nil
}

// stop closes the callers' idle connections and then stops the firm.
func (f *firm) stop() {
	for _, caller := range f.callers {
		caller.http.CloseIdleConnections()
	}
	f.Stop()
}

// configureEndpoint sets the service time and the cold start of an endpoint.
func configureEndpoint(owner *document.Service, standIn *endpoint.Endpoint) {
	standIn.ServiceTime, standIn.JitterPercent = serviceTime(owner), jitterPercent
	standIn.WarmUpRequests, standIn.WarmUpSlowPercent = warmUpRequests, warmUpSlowPercent
}

func serviceTime(service *document.Service) clock.Millis {
	switch {
	case standin.FindRoute(service, document.WorkUpload, false) != nil:
		return uploadServiceTime
	case standin.FindRoute(service, document.WorkOrder, false) != nil:
		return orderServiceTime
	}
	return lookUpServiceTime
}
