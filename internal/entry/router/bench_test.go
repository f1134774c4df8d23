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

func lookup(b *testing.B, client *http.Client, url, keyText string) {
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

// BenchmarkOverhead alternates calls through the entry and straight to the
// endpoint, one at a time, and reports both p99 and their difference.
func BenchmarkOverhead(b *testing.B) {
	r := newRig(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	direct, through := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	timed := func(into *hdrhistogram.Histogram, host string) {
		start := time.Now()
		lookup(b, client, "http://"+host+"/cat/thyme", r.key)
		_ = into.RecordValue(time.Since(start).Microseconds())
	}
	for b.Loop() {
		timed(direct, r.tap.Addr().String())
		timed(through, r.address)
	}
	b.ReportMetric(float64(direct.ValueAtQuantile(99)), "direct-p99-us")
	b.ReportMetric(float64(through.ValueAtQuantile(99)), "entry-p99-us")
	b.ReportMetric(float64(through.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "added-p99-us")
}

// BenchmarkSmallRequests sends from several callers at once; caller, entry and
// endpoint share the process.
func BenchmarkSmallRequests(b *testing.B) {
	r := newRig(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	const callers = 32
	b.ReportAllocs()
	b.ResetTimer()
	start := time.Now()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := caller; i < b.N; i += callers {
				lookup(b, client, "http://"+r.address+"/cat/thyme", r.key)
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "requests/s")
}

// instant answers in place of an endpoint, without a connection.
type instant struct{}

func (instant) Send(context.Context, string, *endpoint.Request) (*endpoint.Response, error) {
	return &endpoint.Response{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// BenchmarkRouter measures the router alone, without connections.
func BenchmarkRouter(b *testing.B) {
	r := newRig(b)
	r.router.Client = instant{}
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest("GET", "/cat/thyme", nil)
		request.Header.Set("Authorization", "Bearer "+r.key)
		r.router.ServeHTTP(httptest.NewRecorder(), request)
	}
}

// BenchmarkUploadOfOneGiB reports all that caller, entry and endpoint allocate.
func BenchmarkUploadOfOneGiB(b *testing.B) {
	r := newRig(b)
	r.answer(sized)
	const size = 1 << 30
	var allocated uint64
	b.SetBytes(size)
	for b.Loop() {
		allocated = max(allocated, r.upload(b, size))
	}
	b.ReportMetric(float64(allocated)/(1<<10), "KiB-allocated")
}
