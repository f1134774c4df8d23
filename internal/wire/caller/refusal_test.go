package caller_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
)

// Guards against a status that promises "not run" for a request that may have run.
func TestGatewayStatusPromisesOnlyWhatHasNotRun(t *testing.T) {
	refuser := caller.RefusalWriter{GatewayStatuses: true}
	for _, why := range []reason.Reason{
		reason.BadRequest, reason.HeadTooLarge, reason.HeadTooSlow, reason.BodyTooLarge, reason.BodyTooSlow, reason.BodyShort, reason.RouteUnknown,
		reason.KeyMissing, reason.KeyUnknown, reason.KeyWithdrawn, reason.KeyDoubled, reason.KeyMisplaced, reason.WorkspaceUnknown, reason.StateStale,
		reason.RateExceeded, reason.RegionFull, reason.LinkFull, reason.NoEndpoint, reason.DeadlinePassed, reason.OrderIDMissing, reason.OrderIDReused,
		reason.OrderRunning, reason.OrderDone, reason.CallerGone, reason.StoreUnavailable, reason.EndpointFailed, reason.EndpointShed, reason.AnswerCut,
		reason.AnswerCrossed, reason.RequestBlocked, reason.VersionWithdrawn, reason.TooManyConnections, reason.OutOfMemory, reason.Stopping, reason.NotReady, reason.Internal,
	} {
		for ran, promises := range map[reason.Ran]bool{reason.RanNo: true, reason.RanUnknown: false, reason.RanYes: false} {
			response := httptest.NewRecorder()
			refuser.Refuse(response, &reason.Refusal{Reason: why, Ran: ran}, nil)
			switch response.Code {
			case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
				NewWithT(t).Expect(promises).To(BeTrue(), "%s, ran %s: %d", why, ran, response.Code)
			case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
				NewWithT(t).Expect(promises).To(BeFalse(), "%s, ran %s: %d", why, ran, response.Code)
			}
		}
	}
}
