package baseline_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/standin/baseline"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

// Guards against a baseline that scores better because its callers take a cut answer for a
// whole one.
func TestAnswerThatIsCutIsNotPassedOnAsWhole(t *testing.T) {
	g := NewWithT(t)
	faulty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(endpoint.RequestIDHeader, request.Header.Get(endpoint.RequestIDHeader))
		w.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(w, "half")
	}))
	defer faulty.Close()
	services := []*document.Service{{
		Name: "s", Routes: []document.Route{{Prefix: "/", Public: true, Work: document.WorkCatalogue, Deadline: 5000}},
		Endpoints: []document.Endpoint{{Name: "e", Address: strings.TrimPrefix(faulty.URL, "http://"), Slots: 1}},
	}}
	vm := httptest.NewServer(&baseline.VM{Policy: baseline.Nearest, Client: endpoint.New(), Services: func() []*document.Service { return services }})
	defer vm.Close()
	response, err := http.Get(vm.URL + "/x")
	if err == nil {
		defer response.Body.Close()
		content, readErr := io.ReadAll(response.Body)
		g.Expect(readErr).To(HaveOccurred(), "status %d, %q", response.StatusCode, content)
	}
}
