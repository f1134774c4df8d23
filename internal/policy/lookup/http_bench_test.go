package lookup_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"baobabladder.example/baobabladder/internal/policy/lookup"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// ranker looks up the entry VMs in a Table and a Ranking.
type ranker struct {
	table   *lookup.Table
	ranking *lookup.Ranking
}

// Lookup implements caller.VMs.
func (r ranker) Lookup(address netip.Addr) []vm.VM {
	return r.ranking.Pick(r.table.Region(address), address)
}

// BenchmarkLookupOverHTTP measures a caller's complete request over one persistent
// loopback connection, with client and server in this process.
func BenchmarkLookupOverHTTP(b *testing.B) {
	table, _, _ := newTable(b, 530_000)
	fleet, view := benchView(4900)
	vms := ranker{table, lookup.NewRanking(fleet, lookup.EligibleVMs(view), "region-0")}
	listener := httptest.NewUnstartedServer(nil).Listener
	server := &caller.Server{Handler: http.NotFoundHandler(), VMs: vms, Ready: func() bool { return true }, IdleCloseDelay: 1}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	url := "http://" + listener.Addr().String() + caller.EntryVMsPath
	client := &http.Client{Transport: &http.Transport{}}
	for b.Loop() {
		response, err := client.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status)
		}
	}
	client.CloseIdleConnections()
	_ = server.Shutdown(b.Context())
	<-ended
}
