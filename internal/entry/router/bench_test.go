package router_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

func get(b *testing.B, client *http.Client, url, keyText string) {
	request, _ := http.NewRequest("GET", url, nil)
	request.Header.Set("Authorization", "Bearer "+keyText)
	request.Header.Set(endpoint.RequestIDHeader, "direct")
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Errorf("status %d", response.StatusCode)
	}
}

// BenchmarkOverhead sends requests one at a time, alternately through the entry VM and
// directly to the endpoint. It reports the p99 of both and the difference.
func BenchmarkOverhead(b *testing.B) {
	f := newFixture(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	direct, throughEntry := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	measure := func(histogram *hdrhistogram.Histogram, host string) {
		start := time.Now()
		get(b, client, "http://"+host+"/cat/thyme", f.key)
		_ = histogram.RecordValue(time.Since(start).Microseconds())
	}
	for b.Loop() {
		measure(direct, f.listener.Addr().String())
		measure(throughEntry, f.address)
	}
	b.ReportMetric(float64(direct.ValueAtQuantile(99)), "direct-p99-us")
	b.ReportMetric(float64(throughEntry.ValueAtQuantile(99)), "entry-p99-us")
	b.ReportMetric(float64(throughEntry.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "added-p99-us")
}

// BenchmarkSmallRequests measures the throughput of concurrent callers. Callers, entry
// VM and endpoint share the process.
func BenchmarkSmallRequests(b *testing.B) {
	f := newFixture(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	const callers = 32
	b.ReportAllocs()
	b.ResetTimer()
	start := time.Now()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := caller; i < b.N; i += callers {
				get(b, client, "http://"+f.address+"/cat/thyme", f.key)
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "requests/s")
}

// instantSender responds at once, without an endpoint or a connection.
type instantSender struct{}

func (instantSender) Send(context.Context, string, *endpoint.Request) (*endpoint.Response, error) {
	return &endpoint.Response{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// BenchmarkRouter measures the router without any connections.
func BenchmarkRouter(b *testing.B) {
	f := newFixture(b)
	f.router.Client = instantSender{}
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest("GET", "/cat/thyme", nil)
		request.Header.Set("Authorization", "Bearer "+f.key)
		f.router.ServeHTTP(httptest.NewRecorder(), request)
	}
}

// BenchmarkUploadOfOneGiB reports the bytes that caller, entry VM and endpoint
// allocate together.
func BenchmarkUploadOfOneGiB(b *testing.B) {
	f := newFixture(b)
	f.setHandler(respondWithBodySize)
	const size = 1 << 30
	var allocated uint64
	b.SetBytes(size)
	for b.Loop() {
		allocated = max(allocated, f.upload(b, size))
	}
	b.ReportMetric(float64(allocated)/(1<<10), "KiB-allocated")
}
